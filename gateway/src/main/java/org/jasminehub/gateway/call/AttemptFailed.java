package org.jasminehub.gateway.call;

import java.util.List;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.core.event.Event;

/**
 * Logged when an attempt ends without a response that can be delivered.
 *
 * @param requestId the call's id
 * @param endpoint the endpoint it was sent to
 * @param end whether the endpoint may have run the call
 * @param reason the observed failure
 * @param openCalls the endpoint's open calls as known to this instance
 * @param lastEventId the id of the last stream event delivered to the caller, empty if there is none
 * @param elapsedMillis the time since the attempt was sent
 * @param isRepeated whether the call goes on with another attempt
 * @param promptParts the parts of the prompt that other requests may share
 */
public record AttemptFailed(
        String requestId,
        String endpoint,
        AttemptEnd end,
        String reason,
        int openCalls,
        String lastEventId,
        long elapsedMillis,
        boolean isRepeated,
        List<String> promptParts)
        implements Event {
    @Override
    public CallEventKind kind() {
        return CallEventKind.ATTEMPT_FAILED;
    }
}
