package org.jasminehub.core.cold;

import org.jasminehub.core.serving.ColdStart;
import org.jasminehub.core.serving.EndpointRecord;

/** A request from the choice of its endpoint on; counts at the time of its choice until it is written. */
public final class ColdSend {
    private final EndpointRecord endpoint;
    private final ColdStart coldStart;
    private final int endpoints;
    private long countedMillis;
    private boolean isWritten;

    ColdSend(EndpointRecord endpoint, ColdStart coldStart, int endpoints, long countedMillis) {
        this.endpoint = endpoint;
        this.coldStart = coldStart;
        this.endpoints = endpoints;
        this.countedMillis = countedMillis;
    }

    EndpointRecord endpoint() {
        return endpoint;
    }

    ColdStart coldStart() {
        return coldStart;
    }

    int endpoints() {
        return endpoints;
    }

    long countedMillis() {
        return countedMillis;
    }

    boolean isWritten() {
        return isWritten;
    }

    void onWritten(long nowMillis) {
        countedMillis = nowMillis;
        isWritten = true;
    }
}
