package org.jasminehub.agent.call;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the calls that have arrived at the agent and have not ended. Thread-safe. */
public final class RunningCalls implements CallFilter {
    private final AtomicInteger running = new AtomicInteger();

    /** Returns the number of running calls. */
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
