package org.jasminehub.agent.call;

/** Runs a call; must not block. */
@FunctionalInterface
public interface CallHandler {
    /** Takes over {@code call} and sees that it ends. */
    void handle(AgentCall call);
}
