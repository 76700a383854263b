/** Log lines and metrics of a process. */
@NullMarked
package org.jasminehub.gateway.telemetry;

import org.jspecify.annotations.NullMarked;
