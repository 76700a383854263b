package org.jasminehub.core.admission;

import org.jasminehub.core.internal.Checks;

/**
 * How fast an engine works at present.
 *
 * @param capacityRequests requests that can run at a time, at least 1
 * @param stepMillis the group's time for one step, above 0
 * @param prefillTokensPerSecond how fast prompts are read, above 0
 */
public record EngineSpeed(int capacityRequests, double stepMillis, double prefillTokensPerSecond) {
    private static final double MILLIS_PER_SECOND = 1000;

    /** Creates a checked speed. */
    public EngineSpeed {
        Checks.positive("capacityRequests", capacityRequests);
        Checks.inRange("stepMillis", stepMillis, Double.MIN_VALUE, Double.MAX_VALUE);
        Checks.inRange("prefillTokensPerSecond", prefillTokensPerSecond, Double.MIN_VALUE, Double.MAX_VALUE);
    }

    /** Returns how long a request runs once it has started. */
    double serviceMillis(long promptTokens, double answerTokens) {
        return promptTokens * MILLIS_PER_SECOND / prefillTokensPerSecond + answerTokens * stepMillis;
    }

    /** Returns how many tokens of work a full batch finishes in a millisecond. */
    double tokensPerMilli() {
        return capacityRequests / stepMillis;
    }
}
