/** Measures endpoint policies and admission on small fakes under a manual clock. */
@NullMarked
package org.jasminehub.bench.routing;

import org.jspecify.annotations.NullMarked;
