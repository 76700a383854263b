package org.jasminehub.gateway.call;

import org.jasminehub.core.event.Event;

/**
 * Logged when a call ends.
 *
 * @param kind whether the call was served, refused or ended by the caller
 * @param requestId the call's id
 * @param route the matched route, empty if none
 * @param workspace the workspace, empty if unknown
 * @param status the HTTP status sent, 0 if none was sent
 * @param code the error code, empty if the call was served
 * @param reason why the call was refused or ended
 * @param endpoint the endpoint of the last attempt, empty if the call was never sent
 * @param sends the number of attempts
 * @param runs the number of endpoints that may have run the call
 * @param queuedMillis the time spent waiting for an endpoint
 * @param firstByteMillis the time from arrival to the start of the response, -1 if none was started
 * @param totalMillis the time from arrival to the end of the call
 * @param configuration the version of the configuration that was applied
 * @param configurationAgeMillis how long before arrival that configuration was last confirmed to be current
 */
public record CallEnded(
        CallEventKind kind,
        String requestId,
        String route,
        String workspace,
        int status,
        String code,
        String reason,
        String endpoint,
        int sends,
        int runs,
        long queuedMillis,
        long firstByteMillis,
        long totalMillis,
        long configuration,
        long configurationAgeMillis)
        implements Event {}
