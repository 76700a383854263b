/** The HTTP endpoint that serves the metrics and health checks of a process. */
@NullMarked
package org.jasminehub.runtime.metrics;

import org.jspecify.annotations.NullMarked;
