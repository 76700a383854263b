package org.jasminehub.core.time;

/**
 * A source of monotonic and wall-clock time in milliseconds.
 *
 * <pre>{@code
 * long startMillis = clock.monotonicMillis();
 * ...
 * long elapsedMillis = clock.monotonicMillis() - startMillis;
 * }</pre>
 *
 * <p>Implementations must be thread-safe.
 */
public interface Clock {
    /** Returns the milliseconds since an arbitrary origin of this process; never decreases. */
    long monotonicMillis();

    /** Returns the milliseconds since 1970-01-01T00:00Z; may jump, so use it only as a timestamp in records. */
    long wallMillis();
}
