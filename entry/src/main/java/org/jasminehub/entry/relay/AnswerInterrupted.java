package org.jasminehub.entry.relay;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * An answer broke off after its head.
 *
 * @param requestId the request
 * @param endpoint the endpoint that gave it
 * @param attempt the attempt, counted from 1
 * @param relayedChunks how many chunks the caller has
 * @param code why it broke off
 */
public record AnswerInterrupted(String requestId, String endpoint, int attempt, int relayedChunks, String code)
        implements Event {
    @Override
    public EventKind kind() {
        return RelayEventKind.ANSWER_INTERRUPTED;
    }
}
