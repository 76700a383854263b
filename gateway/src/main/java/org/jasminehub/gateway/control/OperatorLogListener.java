package org.jasminehub.gateway.control;

import java.util.OptionalLong;
import org.jasminehub.platform.hosted.LogSlice;

/** Receives the operator's log beside the configuration, so that the log is read only once. */
public interface OperatorLogListener {
    /**
     * Called with each successful read, before the configuration in it is applied.
     *
     * @param isSnapshot whether the read returned the newest record of every key
     * @param asOfMillis the monotonic time as of which the records read so far are complete, empty if the read did not
     *     reach the end of the log
     */
    void onOperatorLog(LogSlice slice, boolean isSnapshot, OptionalLong asOfMillis);
}
