package org.jasminehub.core.serving;

import org.jasminehub.core.internal.Checks;

/**
 * What callers may send and how long they may take.
 *
 * @param headerBytes the largest request line with headers
 * @param bodyBytes the largest body
 * @param headerTimeoutMillis how long a caller may take to send a request's headers
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Bounds until a configuration states others: 16 KiB of headers and 4 MiB of body are common server defaults. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 << 10, 4 << 20, 5_000, 30_000);

    /** Creates limits, all of which must be positive. */
    public CallerLimits {
        Checks.positive("headerBytes", headerBytes);
        Checks.positive("bodyBytes", bodyBytes);
        Checks.positive("headerTimeoutMillis", headerTimeoutMillis);
        Checks.positive("idleTimeoutMillis", idleTimeoutMillis);
    }
}
