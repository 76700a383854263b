package org.jasminehub.standin;

/** An engine's load report. */
record EngineLoadJson(
        int queuedRequests,
        int runningRequests,
        int capacityRequests,
        double stepMillis,
        double prefillTokensPerSecond,
        long ageMillis) {}
