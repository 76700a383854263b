package org.jasminehub.agent.call;

/** Handles calls; must not block. */
@FunctionalInterface
public interface CallHandler {
    /** Handles {@code call} and is responsible for ending it. */
    void handle(AgentCall call);
}
