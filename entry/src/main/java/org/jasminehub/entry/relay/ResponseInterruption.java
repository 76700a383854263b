package org.jasminehub.entry.relay;

import org.jasminehub.core.error.RequestException;

/**
 * Describes a response that ended before it was complete.
 *
 * @param failure the reason
 * @param relayedChunks the number of chunks already relayed to the caller
 */
record ResponseInterruption(RequestException failure, int relayedChunks) {}
