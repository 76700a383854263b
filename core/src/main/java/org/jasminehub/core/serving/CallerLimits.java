package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;

/**
 * Limits on the size and timing of requests from callers.
 *
 * @param headerBytes the largest size of the request line and headers
 * @param bodyBytes the largest size of a body
 * @param headerTimeoutMillis how long a caller may take to send the headers of a request
 * @param idleTimeoutMillis how long a connection may be idle between requests
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits used until a configuration sets others: 16 KiB of headers and a 4 MiB body are common defaults. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 4 << 20, 5_000, 30_000);

    /** Creates limits; all values must be positive. */
    public CallerLimits {
        Checks.positive("headerBytes", headerBytes);
        Checks.positive("bodyBytes", bodyBytes);
        Checks.positive("headerTimeoutMillis", headerTimeoutMillis);
        Checks.positive("idleTimeoutMillis", idleTimeoutMillis);
    }
}
