package org.jasminehub.core.routing;

/** Measures requests in tokens of work: one generated token, or the prompt tokens that cost an engine as much. */
public final class WorkCost {
    /** How many prompt tokens an engine reads in the time that one generated token takes of a full batch. */
    public static final int PROMPT_TOKENS_PER_WORK_TOKEN = 16;

    private WorkCost() {}

    /** Returns the work of a request, at least 1. */
    public static long tokens(long promptTokens, long answerTokens) {
        return Math.max(1, answerTokens + promptTokens / PROMPT_TOKENS_PER_WORK_TOKEN);
    }
}
