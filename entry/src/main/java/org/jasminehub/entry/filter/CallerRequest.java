package org.jasminehub.entry.filter;

import org.apache.pekko.util.ByteString;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.Target;
import org.jspecify.annotations.Nullable;

/**
 * A parsed request from a caller that is not yet matched with a document.
 *
 * @param id the id of the request
 * @param workspace the workspace that the request belongs to
 * @param target the model or service that the request is for
 * @param method the HTTP method
 * @param path the path relative to the target
 * @param stream whether the caller requests a streamed response
 * @param body the request body
 * @param promptTokens the estimated length of the prompt
 * @param maxAnswerTokens the maximum number of tokens in the response
 * @param routeName the name of the route requested by the caller, or null
 * @param idempotencyKey the value of the Idempotency-Key header, or null
 * @param arrivedMillis the time of arrival by the monotonic clock of this process
 */
public record CallerRequest(
        RequestId id,
        WorkspaceId workspace,
        Target target,
        String method,
        String path,
        boolean stream,
        ByteString body,
        long promptTokens,
        long maxAnswerTokens,
        @Nullable String routeName,
        @Nullable String idempotencyKey,
        long arrivedMillis) {}
