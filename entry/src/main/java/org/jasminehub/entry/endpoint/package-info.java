/** Connections to agents and what they report. */
@NullMarked
package org.jasminehub.entry.endpoint;

import org.jspecify.annotations.NullMarked;
