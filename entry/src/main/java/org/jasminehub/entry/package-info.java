/** The entry instance: the HTTP interface, the filter chain, the relay to agents, and the controllers of its state. */
@NullMarked
package org.jasminehub.entry;

import org.jspecify.annotations.NullMarked;
