package org.jasminehub.core.cold;

import org.jasminehub.core.serving.ColdStart;

/**
 * The number of requests that all instances of one membership view may send to an endpoint, and its division among them.
 *
 * @param requests the number of requests in any window
 * @param windowMillis the length of the window
 */
record SendAllowance(int requests, long windowMillis) {
    /** Two membership views may be in use at the same time, each with its own senders. */
    static final int CONCURRENT_VIEWS = 2;

    static final long SECOND_MILLIS = 1_000;

    /**
     * A view with less than this share of the known instances may be one of several parts of a split fleet. It gets only
     * its share, so that the parts together stay within the sum of two views.
     */
    private static final double MAJORITY_SHARE = 0.5;

    /** What a cold endpoint must tolerate in any second: 1.5 times its stated rate and 5 more. */
    private static final double BOUND_FACTOR = 1.5;

    private static final int BOUND_RESERVE = 5;

    /**
     * Endpoints that each instance can reach on average. With fewer, the share of instances without any is e^-n: 0.03 %
     * at 8.
     */
    private static final int REACHABLE_ENDPOINTS = 8;

    /**
     * Returns the allowance of one view for a cold endpoint. Two views together stay within the tolerated rate in any
     * second. If that is less than two requests a second, each view sends one request in a window in which two are
     * tolerated.
     */
    static SendAllowance forCold(ColdStart coldStart) {
        int requests = (int) (coldStart.requestsPerSecond() / CONCURRENT_VIEWS);
        return requests > 0
                ? new SendAllowance(requests, SECOND_MILLIS)
                : new SendAllowance(
                        1, (long) Math.ceil(CONCURRENT_VIEWS * SECOND_MILLIS / coldStart.requestsPerSecond()));
    }

    /** Returns whether two views would exceed the tolerated rate in a single second, so that only one may send. */
    boolean isForOneView() {
        return windowMillis > SECOND_MILLIS;
    }

    /** Returns this allowance reduced for the view of a minority. */
    SendAllowance forView(SenderView view) {
        double share = (double) view.liveInstances() / view.knownInstances();
        boolean isMajority = isForOneView() ? share > MAJORITY_SHARE : share >= MAJORITY_SHARE;
        return isMajority ? this : new SendAllowance((int) (requests * share), windowMillis);
    }

    /**
     * Returns the allowance for an endpoint that is not known to be cold, in addition to its recent responses. It is what
     * bounds the rate while an endpoint is cold and this is not known yet. One view and a response from each slot stay
     * within the bound of a cold endpoint, as do two views while its slots allow it.
     *
     * @param endpoints the number of endpoints of the service; each instance has to reach several of them
     */
    static SendAllowance forWarm(ColdStart coldStart, int slots, int endpoints, SenderView view) {
        double bound = coldStart.requestsPerSecond() * BOUND_FACTOR + BOUND_RESERVE;
        int withinBound = (int) ((bound - slots) / CONCURRENT_VIEWS);
        long reaching = Math.min(
                view.knownInstances(),
                ((long) REACHABLE_ENDPOINTS * view.knownInstances() + endpoints - 1) / Math.max(1, endpoints));
        return new SendAllowance((int) Math.max(Math.max(slots, withinBound), reaching), SECOND_MILLIS);
    }

    /** Returns the share of the sender at {@code rank} if {@code instances} divide this allowance. */
    int share(int rank, int instances) {
        return requests / instances + (rank < requests % instances ? 1 : 0);
    }
}
