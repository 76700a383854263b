package org.jasminehub.agent.call;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;

/** Refuses new work once the agent is leaving. Safe for use by several threads. */
public final class LeavingFilter implements CallFilter {
    private volatile boolean leaving;

    /** Refuses all work from now on. */
    public void leave() {
        leaving = true;
    }

    /** Returns whether the agent is leaving. */
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
