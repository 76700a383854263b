package org.jasminehub.entry.relay;

import org.jasminehub.core.error.RequestException;

/**
 * An answer that ended early.
 *
 * @param failure what happened
 * @param relayedChunks how many chunks the caller has
 */
record AnswerInterruption(RequestException failure, int relayedChunks) {}
