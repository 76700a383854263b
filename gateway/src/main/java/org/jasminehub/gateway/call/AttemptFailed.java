package org.jasminehub.gateway.call;

import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.core.event.Event;

/**
 * An attempt that gave no answer to deliver.
 *
 * @param requestId the call's id
 * @param endpoint the endpoint it was sent to
 * @param end what is known of its effect
 * @param reason what was seen
 * @param openCalls the endpoint's open calls as known here
 * @param lastEventId the last event of the stream that the caller has, -1 where it has none
 * @param elapsedMillis since the attempt was sent
 * @param isRepeated whether the call goes on at another endpoint
 */
public record AttemptFailed(
        String requestId,
        String endpoint,
        AttemptEnd end,
        String reason,
        int openCalls,
        long lastEventId,
        long elapsedMillis,
        boolean isRepeated)
        implements Event {
    @Override
    public CallEventKind kind() {
        return CallEventKind.ATTEMPT_FAILED;
    }
}
