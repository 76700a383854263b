package org.jasminehub.gateway.experts;

import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.DelayedRunner;

/**
 * Evaluates the reports of a group's ranks together if they arrive faster than they can be evaluated.
 *
 * <p>An evaluation looks at all ranks, and every rank reports ten times a second, so evaluating at each report would
 * cost the square of the group's size.
 */
final class EvaluationThrottle {
    /** Ranks for each millisecond between two evaluations. */
    private static final int RANKS_PER_MILLI = 4;

    private final Clock clock;
    private final DelayedRunner timer;
    private final Runnable evaluation;
    private long lastMillis;
    private boolean isScheduled;

    EvaluationThrottle(Clock clock, DelayedRunner timer, Runnable evaluation) {
        this.clock = clock;
        this.timer = timer;
        this.evaluation = evaluation;
    }

    /** Records that an evaluation is being made for another reason than a report. */
    void onEvaluated() {
        lastMillis = clock.monotonicMillis();
    }

    /** Evaluates now, or with the next reports of a group of {@code groupSize} ranks. */
    void onReport(int groupSize) {
        long waitMillis = lastMillis + groupSize / RANKS_PER_MILLI - clock.monotonicMillis();
        if (waitMillis <= 0) {
            evaluation.run();
        } else if (!isScheduled) {
            isScheduled = true;
            timer.runAfter(waitMillis, () -> {
                isScheduled = false;
                evaluation.run();
            });
        }
    }
}
