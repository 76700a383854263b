package org.jasminehub.agent.call;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;

/** Refuses new calls once the agent is shutting down. Thread-safe. */
public final class LeavingFilter implements CallFilter {
    private volatile boolean leaving;

    /** Starts refusing all new calls. */
    public void leave() {
        leaving = true;
    }

    /** Returns whether new calls are refused. */
    public boolean isLeaving() {
        return leaving;
    }

    @Override
    public void handle(AgentCall call, CallHandler next) {
        if (leaving) {
            call.refuse(ErrorCode.LEAVING, Outcome.NOT_RUN, 0, "the endpoint is leaving");
            return;
        }
        next.handle(call);
    }
}
