/** Connections to agents and the state that agents report. */
@NullMarked
package org.jasminehub.entry.endpoint;

import org.jspecify.annotations.NullMarked;
