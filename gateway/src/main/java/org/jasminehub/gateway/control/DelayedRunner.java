package org.jasminehub.gateway.control;

/** Runs actions later on the thread that control state belongs to. */
@FunctionalInterface
public interface DelayedRunner {
    /** Runs {@code action} after {@code delayMillis}. */
    void runAfter(long delayMillis, Runnable action);
}
