package org.jasminehub.entry.filter;

import org.apache.pekko.util.ByteString;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.Target;
import org.jspecify.annotations.Nullable;

/**
 * A request as its caller sent it, parsed but not yet matched with a document.
 *
 * @param id the request's name
 * @param workspace on whose behalf it is sent
 * @param target what should serve it
 * @param method its HTTP method
 * @param path its path below the target
 * @param stream whether the answer should be relayed as it is generated
 * @param body its body
 * @param promptTokens the prompt's estimated length
 * @param maxAnswerTokens the most tokens the answer may have
 * @param routeName the route that the caller names, or null
 * @param idempotencyKey the caller's Idempotency-Key, or null
 * @param arrivedMillis when it arrived, by the process's monotonic clock
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
