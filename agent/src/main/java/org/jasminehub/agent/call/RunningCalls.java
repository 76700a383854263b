package org.jasminehub.agent.call;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the calls that the agent has taken and not finished. Safe for use by several threads. */
public final class RunningCalls implements CallFilter {
    private final AtomicInteger running = new AtomicInteger();

    /** Returns how many calls run. */
    public int count() {
        return running.get();
    }

    @Override
    public void handle(AgentCall call, CallHandler next) {
        running.incrementAndGet();
        call.whenEnded(result -> running.decrementAndGet());
        next.handle(call);
    }
}
