/** What an operator sees of a process: its log lines and its metrics. */
@NullMarked
package org.jasminehub.gateway.telemetry;

import org.jspecify.annotations.NullMarked;
