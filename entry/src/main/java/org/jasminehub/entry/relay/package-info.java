/** Sends requests to agents and relays their responses to callers. */
@NullMarked
package org.jasminehub.entry.relay;

import org.jspecify.annotations.NullMarked;
