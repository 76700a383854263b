package org.jasminehub.entry.http;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * A request got a problem document as its final answer.
 *
 * @param method the HTTP method of the request
 * @param path the path of the request
 * @param workspace the workspace given by the caller
 * @param code the stable error code
 * @param outcome whether the request ran, as far as it is known
 * @param retryAfterMillis the delay after which the caller may retry, or negative if a retry makes no difference
 * @param reason a description of the failure
 */
public record RequestFailed(
        String method, String path, String workspace, String code, String outcome, long retryAfterMillis, String reason)
        implements Event {
    @Override
    public EventKind kind() {
        return HttpEventKind.REQUEST_FAILED;
    }
}
