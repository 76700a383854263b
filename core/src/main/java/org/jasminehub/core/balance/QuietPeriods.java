package org.jasminehub.core.balance;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;

/**
 * Tracks which endpoints refused requests and asked to be sent nothing for some time.
 *
 * <p>Load pattern: an overloaded endpoint refuses all requests with the same period, and the requests that were held back
 * meanwhile would overload it again as soon as the period ends. After the period the number of open requests therefore
 * grows gradually. Only requests of this instance are counted, since endpoints state a period to each instance.
 *
 * <p>A period belongs to one run of an endpoint. Not thread-safe.
 */
public final class QuietPeriods {
    /** Time after the end of a period in which the limit of open requests grows from one to one for each slot. */
    public static final long SLOW_START_MILLIS = 2_000;

    /** Range over which the callers refused during the same period are asked to return. */
    public static final long RETURN_SPREAD_MILLIS = 1_000;

    private final Clock clock;
    private final Map<EndpointIncarnation, Period> periods = new HashMap<>();

    /** Creates a tracker in which all endpoints accept requests. */
    public QuietPeriods(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records that {@code endpoint} asked now to be sent nothing for {@code periodMillis}. Of several periods, the one
     * that ends last applies.
     *
     * @return whether a period began, false if one was already running or {@code periodMillis} is zero
     */
    public boolean onRequested(EndpointIncarnation endpoint, long periodMillis) {
        long nowMillis = clock.monotonicMillis();
        periods.values().removeIf(period -> period.isOver(nowMillis));
        Period known = periods.get(endpoint);
        long knownEndMillis = known == null ? nowMillis : known.endMillis;
        boolean wasQuiet = nowMillis < knownEndMillis;
        long endMillis = nowMillis + periodMillis;
        if (periodMillis <= 0 || endMillis <= knownEndMillis) {
            return false;
        }
        periods.put(endpoint, new Period(endMillis));
        return !wasQuiet;
    }

    /** Records that this instance sends a request to {@code endpoint}. */
    public void onSent(EndpointIncarnation endpoint) {
        Period period = periods.get(endpoint);
        if (period != null && clock.monotonicMillis() >= period.endMillis) {
            period.openSinceEnd++;
        }
    }

    /** Records the end of a request that this instance sent to {@code endpoint} at {@code sentMillis}. */
    public void onEnded(EndpointIncarnation endpoint, long sentMillis) {
        Period period = periods.get(endpoint);
        if (period != null && sentMillis >= period.endMillis) {
            period.openSinceEnd--;
        }
    }

    /** Returns whether {@code endpoint} must be sent nothing now. */
    public boolean isQuiet(EndpointIncarnation endpoint) {
        Period period = periods.get(endpoint);
        return period != null && clock.monotonicMillis() < period.endMillis;
    }

    /** Returns whether another request may be sent to {@code endpoint} as far as its last period is concerned. */
    public boolean accepts(EndpointRecord endpoint) {
        Period period = periods.get(endpoint.incarnation());
        if (period == null) {
            return true;
        }
        long sinceEndMillis = clock.monotonicMillis() - period.endMillis;
        long maxOpen = Math.max(1, endpoint.slots() * sinceEndMillis / SLOW_START_MILLIS);
        return sinceEndMillis >= SLOW_START_MILLIS || (sinceEndMillis >= 0 && period.openSinceEnd < maxOpen);
    }

    /**
     * Returns the time after which a caller should retry if all of {@code endpoints} must be sent nothing now, else
     * empty.
     *
     * @param position the position of this caller within the range of return times, from 0 to 1, both inclusive
     */
    public OptionalLong retryAfterMillis(Collection<EndpointRecord> endpoints, double position) {
        Checks.inRange("position", position, 0, 1);
        if (periods.isEmpty() || endpoints.isEmpty()) {
            return OptionalLong.empty();
        }
        long nowMillis = clock.monotonicMillis();
        long earliestEndMillis = Long.MAX_VALUE;
        for (EndpointRecord endpoint : endpoints) {
            Period period = periods.get(endpoint.incarnation());
            earliestEndMillis = Math.min(earliestEndMillis, period == null ? nowMillis : period.endMillis);
        }
        return earliestEndMillis <= nowMillis
                ? OptionalLong.empty()
                : OptionalLong.of(earliestEndMillis - nowMillis + Math.round(RETURN_SPREAD_MILLIS * position));
    }

    /** Returns how many endpoints must be sent nothing now. */
    public int quietCount() {
        long nowMillis = clock.monotonicMillis();
        return (int) periods.values().stream()
                .filter(period -> nowMillis < period.endMillis)
                .count();
    }

    /** Returns whether any period or slow start is running. */
    public boolean isActive() {
        long nowMillis = clock.monotonicMillis();
        return periods.values().stream().anyMatch(period -> !period.isOver(nowMillis));
    }

    /** A period with the number of open requests that were sent after its end. */
    private static final class Period {
        private final long endMillis;
        private int openSinceEnd;

        Period(long endMillis) {
            this.endMillis = endMillis;
        }

        boolean isOver(long nowMillis) {
            return nowMillis - endMillis >= SLOW_START_MILLIS;
        }
    }
}
