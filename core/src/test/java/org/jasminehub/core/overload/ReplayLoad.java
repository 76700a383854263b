package org.jasminehub.core.overload;

/** The loads of a replay; times are in seconds from its start. */
enum ReplayLoad {
    /** 2.5 times the calls of the lowest priority for 6 s, beside 1.8 times those of the highest for 3 s. */
    CLASS_BURST,
    /** Twice the calls of all priorities for 5 s. */
    BURST_OF_ALL,
    /** Calls of the highest priority that alone exceed the capacity, for 5 s. */
    HIGH_CLASS_FLOOD,
    /** Half of the slots for 4 s. */
    HALVED_CAPACITY,
    /** As the burst by class; the statuses of a third of the instances are lost for 1.5 s. */
    LOST_STATUS,
    /** A burst of all, with half of the calls from one of eleven workspaces. */
    LARGE_WORKSPACE,
    /** A burst of all, with a fifth of the callers repeating 10 ms after each refusal. */
    IMPATIENT_CALLERS;

    double rateFactor(int priority, double second) {
        boolean isByClass = this == CLASS_BURST || this == LOST_STATUS;
        if (isByClass) {
            boolean isLow = priority == 2 && second >= 2 && second < 8;
            boolean isHigh = priority == 0 && second >= 3 && second < 6;
            return isLow ? 2.5 : isHigh ? 1.8 : 1;
        }
        if (this == HIGH_CLASS_FLOOD) {
            return priority == 0 && second >= 2 && second < 7 ? 5 : 1;
        }
        return this != HALVED_CAPACITY && second >= 2 && second < 7 ? 2 : 1;
    }

    /** Returns whether the load has differed from the usual one for a second. */
    boolean isBurst(double second) {
        return second >= 3 && second < 7;
    }

    double capacityFactor(double second) {
        return this == HALVED_CAPACITY && second >= 3 && second < 7 ? 0.5 : 1;
    }

    boolean isLost(int instance, double second) {
        return this == LOST_STATUS && instance % 3 == 0 && second >= 4 && second < 5.5;
    }

    String workspace(double position) {
        return this == LARGE_WORKSPACE && position < 0.5
                ? "large"
                : "w" + (int) (10 * (this == LARGE_WORKSPACE ? 2 * position - 1 : position));
    }

    boolean isImpatient(double position) {
        return this == IMPATIENT_CALLERS && position < 0.2;
    }
}
