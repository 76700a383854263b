package org.jasminehub.ctl;

/** Waits before something is tried again. */
@FunctionalInterface
interface Pause {
    /** Returns after {@code millis}. */
    void pauseMillis(long millis);
}
