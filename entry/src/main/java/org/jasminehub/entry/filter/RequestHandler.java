package org.jasminehub.entry.filter;

import java.util.concurrent.CompletionStage;

/** Answers a request; the stage fails with {@link org.jasminehub.core.error.RequestException}. Must not block. */
@FunctionalInterface
public interface RequestHandler {
    /** Returns the answer to {@code context}. */
    CompletionStage<Answer> handle(RequestContext context);
}
