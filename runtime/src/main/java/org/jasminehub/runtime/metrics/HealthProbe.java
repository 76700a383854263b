package org.jasminehub.runtime.metrics;

/** Answers whether a process is well; must be safe for use by several threads and must not block. */
@FunctionalInterface
public interface HealthProbe {
    /** Returns whether it is well. */
    boolean isHealthy();
}
