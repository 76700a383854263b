package org.jasminehub.core.admission;

import org.jasminehub.core.internal.Checks;

/**
 * The current speed of an engine.
 *
 * @param capacityRequests the number of requests that can run concurrently, at least 1
 * @param stepMillis the duration of one step of the group, above 0
 * @param prefillTokensPerSecond the number of prompt tokens processed per second, above 0
 */
public record EngineSpeed(int capacityRequests, double stepMillis, double prefillTokensPerSecond) {
    private static final double MILLIS_PER_SECOND = 1000;

    /** Creates a speed; all values must be positive. */
    public EngineSpeed {
        Checks.positive("capacityRequests", capacityRequests);
        Checks.inRange("stepMillis", stepMillis, Double.MIN_VALUE, Double.MAX_VALUE);
        Checks.inRange("prefillTokensPerSecond", prefillTokensPerSecond, Double.MIN_VALUE, Double.MAX_VALUE);
    }

    /** Returns the time from start to completion of a request. */
    double serviceMillis(long promptTokens, double answerTokens) {
        return promptTokens * MILLIS_PER_SECOND / prefillTokensPerSecond + answerTokens * stepMillis;
    }

    /** Returns the tokens of work that a full batch completes per millisecond. */
    double tokensPerMilli() {
        return capacityRequests / stepMillis;
    }
}
