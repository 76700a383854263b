package org.jasminehub.core.ratelimit;

import java.util.Optional;
import java.util.regex.Pattern;
import org.jasminehub.core.internal.Checks;

/**
 * The number of requests per second that an endpoint states to accept from all instances together.
 *
 * @param requestsPerSecond the limit, from 0 to {@link #MAX_REQUESTS_PER_SECOND}
 */
public record StatedRateLimit(double requestsPerSecond) {
    /** Higher limits are lowered to this one, which no endpoint can reach. */
    public static final double MAX_REQUESTS_PER_SECOND = 1_000_000;

    private static final int MAX_LENGTH = 32;
    private static final Pattern DECIMAL = Pattern.compile("[0-9]+(\\.[0-9]*)?|\\.[0-9]+");

    /** Creates a limit; {@code requestsPerSecond} must be in range. */
    public StatedRateLimit {
        Checks.inRange("requestsPerSecond", requestsPerSecond, 0, MAX_REQUESTS_PER_SECOND);
    }

    /** Decodes a decimal number without a sign or an exponent; returns empty for any other text. */
    public static Optional<StatedRateLimit> parse(String text) {
        String trimmed = text.trim();
        if (trimmed.length() > MAX_LENGTH || !DECIMAL.matcher(trimmed).matches()) {
            return Optional.empty();
        }
        return Optional.of(new StatedRateLimit(Math.min(MAX_REQUESTS_PER_SECOND, Double.parseDouble(trimmed))));
    }
}
