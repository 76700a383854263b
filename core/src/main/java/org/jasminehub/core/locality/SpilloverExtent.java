package org.jasminehub.core.locality;

/** How many of a service's calls leave the local failure domain. */
public enum SpilloverExtent {
    /** No call leaves, apart from calls at risk and calls for which the domain has no endpoint with capacity. */
    NONE,
    /** A share of the calls leaves. */
    SOME,
    /** All calls leave. */
    ALL;

    /** Shares up to this are noise of the smoothing. */
    private static final double NO_SHARE = 0.01;

    /** Larger than {@link #NO_SHARE}, so that a share near 0 does not cause a log line for each of its movements. */
    private static final double SOME_SHARE = 0.1;

    private static final double FULL_SHARE = 0.99;

    /** Returns the extent after this one if {@code share} of the calls leaves. */
    SpilloverExtent next(double share) {
        if (share >= FULL_SHARE) {
            return ALL;
        }
        if (share <= NO_SHARE) {
            return NONE;
        }
        return this == NONE && share < SOME_SHARE ? NONE : SOME;
    }
}
