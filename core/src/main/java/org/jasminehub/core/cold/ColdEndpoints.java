package org.jasminehub.core.cold;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jasminehub.core.serving.ColdStart;
import org.jasminehub.core.serving.ColdTime;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EndpointRegistration;
import org.jasminehub.core.time.Clock;

/**
 * Tracks until when each run of an endpoint is cold.
 *
 * <p>Load pattern: an endpoint starts or turns cold during traffic and crashes if all instances send to it at once. Times
 * count from the receipt of a statement and are never shortened, because registrations and responses overtake each
 * other. An endpoint that states nothing is cold for the configured time after it started or was first seen, whichever
 * is later.
 *
 * <p>Statements are kept also for services without a cold start, because the configuration may be read later. Not
 * thread-safe.
 */
public final class ColdEndpoints {
    private static final long NEVER = Long.MIN_VALUE;

    /** What is known about one run. */
    private static final class Run {
        private final long firstSeenMillis;
        private boolean isStated;
        private long statedEndMillis = NEVER;
        private long malformedMillis = NEVER;
        private long sequence;
        private boolean isDefectReported;

        Run(long firstSeenMillis) {
            this.firstSeenMillis = firstSeenMillis;
        }
    }

    private final Clock clock;
    private final Map<EndpointIncarnation, Run> runs = new HashMap<>();

    /** Creates a tracker without endpoints. */
    public ColdEndpoints(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records the cold time in a registration. A registration that was counted before changes nothing, so reading the log
     * again does not prolong a cold time.
     *
     * @return whether a defect of the statement has to be logged, which is the case once for each run
     */
    public boolean onRegistration(EndpointRegistration registration) {
        Run run = run(registration.endpoint().incarnation());
        if (registration.sequence() > 0 && registration.sequence() <= run.sequence) {
            return false;
        }
        run.sequence = registration.sequence();
        return apply(run, registration.coldTime());
    }

    /**
     * Records the cold time in a response of {@code endpoint}.
     *
     * @return whether a defect of the statement has to be logged, which is the case once for each run
     */
    public boolean onResponse(EndpointIncarnation endpoint, ColdTime time) {
        return apply(run(endpoint), time);
    }

    private boolean apply(Run run, ColdTime time) {
        long nowMillis = clock.monotonicMillis();
        if (time.kind() == ColdTime.Kind.STATED) {
            run.isStated = true;
            if (time.remainingMillis() > 0) {
                run.statedEndMillis = Math.max(run.statedEndMillis, nowMillis + time.remainingMillis());
            }
        } else if (time.kind() == ColdTime.Kind.MALFORMED) {
            run.malformedMillis = nowMillis;
        }
        boolean isReported = !time.defect().isEmpty() && !run.isDefectReported;
        run.isDefectReported |= isReported;
        return isReported;
    }

    /**
     * Returns when the last known cold time of {@code endpoint} ends or ended, by the monotonic clock, or
     * {@link Long#MIN_VALUE} if none is known.
     */
    public long endMillis(EndpointIncarnation endpoint, ColdStart coldStart) {
        Run run = run(endpoint);
        long endMillis = run.statedEndMillis;
        if (!run.isStated) {
            // An endpoint starts before it is seen, so the later one of the two times counts from the first sight.
            endMillis = Math.max(endMillis, run.firstSeenMillis + coldStart.coldMillis());
        }
        return run.malformedMillis == NEVER
                ? endMillis
                : Math.max(endMillis, run.malformedMillis + coldStart.coldMillis());
    }

    /** Returns whether {@code endpoint} must be treated as cold now. */
    public boolean isCold(EndpointIncarnation endpoint, ColdStart coldStart) {
        return clock.monotonicMillis() < endMillis(endpoint, coldStart);
    }

    /** Forgets the runs that are neither registered nor stated to be cold. */
    public void onRegistrations(Collection<EndpointRecord> registered) {
        Set<EndpointIncarnation> present =
                registered.stream().map(EndpointRecord::incarnation).collect(Collectors.toSet());
        long nowMillis = clock.monotonicMillis();
        runs.entrySet().removeIf(run -> !present.contains(run.getKey()) && run.getValue().statedEndMillis < nowMillis);
    }

    private Run run(EndpointIncarnation endpoint) {
        return runs.computeIfAbsent(endpoint, each -> new Run(clock.monotonicMillis()));
    }
}
