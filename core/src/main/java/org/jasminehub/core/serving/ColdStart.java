package org.jasminehub.core.serving;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * How long the endpoints of a service are cold after a start, and how many requests a cold endpoint tolerates.
 *
 * @param coldMillis the time for which an endpoint is cold
 * @param requestsPerSecond the requests per second that a cold endpoint tolerates from all instances together
 * @param defect why a value differs from the configured one, empty if none does
 */
public record ColdStart(long coldMillis, double requestsPerSecond, String defect) {
    /** Longest cold time; a longer one is lowered so that a faulty value cannot limit a service for good. */
    public static final long MAX_COLD_MILLIS = 600_000;

    /** Rates above this are lowered to it, which no endpoint can reach. */
    public static final double MAX_REQUESTS_PER_SECOND = 1_000_000;

    /** Rates below this are raised to it, so that an allowance returns within minutes. */
    public static final double MIN_REQUESTS_PER_SECOND = 0.01;

    /** Cold time in place of a value that cannot be used; engines need a few seconds to load their caches. */
    public static final long FALLBACK_COLD_MILLIS = 10_000;

    /** Rate in place of a value that cannot be used; any endpoint that serves at all tolerates it. */
    public static final double FALLBACK_REQUESTS_PER_SECOND = 1;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Creates a cold start; time and rate must be in range. */
    public ColdStart {
        Checks.inRange("coldMillis", coldMillis, 1, MAX_COLD_MILLIS);
        Checks.inRange("requestsPerSecond", requestsPerSecond, MIN_REQUESTS_PER_SECOND, MAX_REQUESTS_PER_SECOND);
    }

    /**
     * Returns the cold start of a service, or null if it has none because both values are missing or one of them is 0.
     * Values that cannot be used are replaced by safe ones.
     *
     * @param coldSeconds the configured time, null if missing, NaN if it is no number
     * @param requestsPerSecond the configured rate, null if missing, NaN if it is no number
     */
    public static @Nullable ColdStart of(@Nullable Double coldSeconds, @Nullable Double requestsPerSecond) {
        double seconds = coldSeconds == null ? Double.NaN : coldSeconds;
        double rate = requestsPerSecond == null ? Double.NaN : requestsPerSecond;
        boolean isAbsent = coldSeconds == null && requestsPerSecond == null;
        if (isAbsent || seconds == 0 || rate == 0) {
            return null;
        }
        List<String> defects = new ArrayList<>();
        double millis = Math.ceil(seconds * MILLIS_PER_SECOND);
        double usedMillis = millis > 0 ? Math.min(MAX_COLD_MILLIS, millis) : FALLBACK_COLD_MILLIS;
        addDefect(defects, "cold time in seconds", coldSeconds, millis == usedMillis, usedMillis / MILLIS_PER_SECOND);
        double usedRate = rate > 0
                ? Math.max(MIN_REQUESTS_PER_SECOND, Math.min(MAX_REQUESTS_PER_SECOND, rate))
                : FALLBACK_REQUESTS_PER_SECOND;
        addDefect(defects, "cold rate in requests per second", requestsPerSecond, rate == usedRate, usedRate);
        return new ColdStart((long) usedMillis, usedRate, String.join("; ", defects));
    }

    private static void addDefect(
            List<String> defects, String name, @Nullable Double stated, boolean isUsable, double used) {
        if (!isUsable) {
            String text = stated == null ? "missing" : stated.isNaN() ? "no number" : stated.toString();
            defects.add(name + " is " + text + ", used as " + used);
        }
    }
}
