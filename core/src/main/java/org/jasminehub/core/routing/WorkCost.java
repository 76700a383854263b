package org.jasminehub.core.routing;

/**
 * Measures the work of requests in tokens.
 *
 * <p>One token of work is one generated token, or the number of prompt tokens that cost an engine as much.
 */
public final class WorkCost {
    /** The number of prompt tokens that cost an engine as much time as one generated token in a full batch. */
    public static final int PROMPT_TOKENS_PER_WORK_TOKEN = 16;

    private WorkCost() {}

    /** Returns the work of a request in tokens, at least 1. */
    public static long tokens(long promptTokens, long answerTokens) {
        return Math.max(1, answerTokens + promptTokens / PROMPT_TOKENS_PER_WORK_TOKEN);
    }
}
