/** Measures endpoint policies and admission control in a discrete-event simulation with fake engines. */
@NullMarked
package org.jasminehub.bench.routing;

import org.jspecify.annotations.NullMarked;
