package org.jasminehub.entry.relay;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * An answer broke off after its head, so the response to the caller is incomplete.
 *
 * @param requestId the id of the request
 * @param endpoint the endpoint that sent the answer
 * @param attempt the number of the attempt, counted from 1
 * @param relayedChunks the number of chunks already relayed to the caller
 * @param code the code of the failure
 */
public record AnswerInterrupted(String requestId, String endpoint, int attempt, int relayedChunks, String code)
        implements Event {
    @Override
    public EventKind kind() {
        return RelayEventKind.ANSWER_INTERRUPTED;
    }
}
