package org.jasminehub.core.time;

/**
 * Tells the time in milliseconds.
 *
 * <pre>{@code
 * long startMillis = clock.monotonicMillis();
 * ...
 * long elapsedMillis = clock.monotonicMillis() - startMillis;
 * }</pre>
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface Clock {
    /** Returns milliseconds since an arbitrary origin of this process; never goes back. */
    long monotonicMillis();

    /** Returns milliseconds since 1970-01-01T00:00Z; may jump, so it only labels records. */
    long wallMillis();
}
