package org.jasminehub.gateway.control;

import org.jasminehub.platform.hosted.LogSlice;

/** Receives the operator's log beside the configuration, so that the log is read only once. */
public interface OperatorLogListener {
    /**
     * Called with each successful read, before the configuration in it is applied.
     *
     * @param isSnapshot whether the read returned the newest record of every key
     * @param asOfMillis the monotonic time as of which the read is current
     */
    void onOperatorLog(LogSlice slice, boolean isSnapshot, long asOfMillis);
}
