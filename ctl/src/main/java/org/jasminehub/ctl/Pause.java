package org.jasminehub.ctl;

/** Blocks the calling thread before a retry. */
@FunctionalInterface
interface Pause {
    /** Blocks for {@code millis} milliseconds. */
    void pauseMillis(long millis);
}
