/** The entry instance: callers' interface, filter chain, relay to agents, and controllers of what it knows. */
@NullMarked
package org.jasminehub.entry;

import org.jspecify.annotations.NullMarked;
