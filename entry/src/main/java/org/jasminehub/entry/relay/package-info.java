/** Sending requests to agents and relaying their answers whole. */
@NullMarked
package org.jasminehub.entry.relay;

import org.jspecify.annotations.NullMarked;
