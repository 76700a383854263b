package org.jasminehub.gateway.call;

import org.jasminehub.core.event.Event;

/**
 * How a call ended.
 *
 * @param kind served, refused or left by its caller
 * @param requestId the call's id
 * @param route the route, empty where none matched
 * @param workspace the workspace, empty where none is known
 * @param status the HTTP status sent, 0 where none was
 * @param code the error code, empty where the call was served
 * @param reason what decided it
 * @param endpoint the last endpoint it was sent to, empty where it was sent to none
 * @param sends how often it was sent
 * @param runs how many endpoints may have run it
 * @param queuedMillis how long it waited for an endpoint
 * @param firstByteMillis when the answer began, from the call's arrival; -1 where it did not
 * @param totalMillis when it ended, from its arrival
 * @param configuration the version of the configuration that decided
 * @param configurationAgeMillis how old that knowledge was on arrival
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
