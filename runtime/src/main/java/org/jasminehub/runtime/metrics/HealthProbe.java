package org.jasminehub.runtime.metrics;

/** A health check of a process; implementations must be thread-safe and must not block. */
@FunctionalInterface
public interface HealthProbe {
    /** Returns whether the check succeeds. */
    boolean isHealthy();
}
