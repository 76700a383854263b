package org.jasminehub.core.admission;

/** Learns how long answers are, relative to the most they may have. Not safe for use by several threads. */
final class AnswerLength {
    private static final double INITIAL_SHARE = 0.5;
    private static final double GAIN = 0.05;

    private double share = INITIAL_SHARE;

    double expectedTokens(long maxAnswerTokens) {
        return share * maxAnswerTokens;
    }

    void record(long answerTokens, long maxAnswerTokens) {
        if (maxAnswerTokens > 0) {
            double observed = Math.min(1, (double) answerTokens / maxAnswerTokens);
            share += GAIN * (observed - share);
        }
    }
}
