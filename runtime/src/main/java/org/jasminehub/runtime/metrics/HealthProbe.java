package org.jasminehub.runtime.metrics;

/** A health check of a process; implementations must be safe for use by several threads and must not block. */
@FunctionalInterface
public interface HealthProbe {
    /** Returns whether the check succeeds. */
    boolean isHealthy();
}
