package org.jasminehub.entry.http;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * A request got a problem document as its final answer.
 *
 * @param method the HTTP method
 * @param path the path
 * @param workspace the workspace that the caller named
 * @param code the stable code
 * @param outcome what is known of the request's effect
 * @param retryAfterMillis when the caller was told to come back, negative for never
 * @param reason what happened
 */
public record RequestFailed(
        String method, String path, String workspace, String code, String outcome, long retryAfterMillis, String reason)
        implements Event {
    @Override
    public EventKind kind() {
        return HttpEventKind.REQUEST_FAILED;
    }
}
