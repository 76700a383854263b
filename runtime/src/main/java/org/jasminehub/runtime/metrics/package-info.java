/** Metrics and the operations endpoint of a process. */
@NullMarked
package org.jasminehub.runtime.metrics;

import org.jspecify.annotations.NullMarked;
