package org.jasminehub.gateway;

/**
 * What the endpoints of a soak run do besides answering, refusing and resetting.
 *
 * @param haveSilentStreams whether streams may fall silent
 * @param floodedShare the share of requests whose response has no end, of many small parts
 * @param unprovenShare the share of requests that run and are answered with a status that promises "not run"
 * @param slowestMillis the longest time that an endpoint needs for the first byte of a response
 */
record SoakFaults(boolean haveSilentStreams, double floodedShare, double unprovenShare, int slowestMillis) {
    private static final int USUAL_SLOWEST_MILLIS = 4_500;

    /** Returns faults without responses that no sound endpoint sends. */
    static SoakFaults sound(boolean haveSilentStreams) {
        return new SoakFaults(haveSilentStreams, 0, 0, USUAL_SLOWEST_MILLIS);
    }

    /** Returns the faults of endpoints that may also need most of the grace time. */
    static SoakFaults faulty(double graceSeconds) {
        return new SoakFaults(false, 0.02, 0.03, (int) (900 * graceSeconds));
    }
}
