package org.jasminehub.gateway.control;

/** Runs delayed actions on the thread that owns the control state. */
@FunctionalInterface
public interface DelayedRunner {
    /** Runs {@code action} after {@code delayMillis}. */
    void runAfter(long delayMillis, Runnable action);
}
