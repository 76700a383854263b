package org.jasminehub.core.cold;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.serving.ColdStart;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this instance may send a request to an endpoint of a service with a cold start.
 *
 * <p>Load pattern: an idle endpoint attracts the calls of all instances, whose statuses are up to 300 ms old. A cold
 * endpoint crashes from that, a warm one refuses most of them. Each endpoint therefore has a bounded set of senders, each
 * with an allowance in a sliding window. While an endpoint is cold, the allowances of two membership views together stay
 * within the rate that it tolerates. After that, the set of senders grows for {@link #RAMP_MILLIS}, and each successful
 * response allows one request more, so that the rate of an endpoint at most grows by its allowance in each second.
 *
 * <p>Not thread-safe.
 */
public final class ColdStartPolicy {
    /**
     * Time after the end of the cold time in which the allowance grows to that of a warm endpoint; several statuses of
     * peers show the endpoint's load meanwhile.
     */
    public static final long RAMP_MILLIS = 2_000;

    /**
     * Time after which a new sender may send if an endpoint tolerates less than two requests a second: one second without
     * its predecessor, which may take 0.9 s to notice the change.
     */
    private static final long SETTLING_MILLIS = 2_000;

    /** Range over which the callers refused for the same reason are asked to return; half of a window. */
    private static final long RETURN_SPREAD_MILLIS = 500;

    /** What this instance sent to one run of an endpoint, and the responses to it. */
    private static final class Log {
        private final Deque<ColdSend> sends = new ArrayDeque<>();
        private final Deque<Long> responses = new ArrayDeque<>();

        /** Sends are in the order of the times at which they count. */
        long countSince(long earliestMillis) {
            if (sends.isEmpty() || sends.getFirst().countedMillis() > earliestMillis) {
                return sends.size();
            }
            long count = 0;
            for (Iterator<ColdSend> latest = sends.descendingIterator(); latest.hasNext(); count++) {
                if (latest.next().countedMillis() <= earliestMillis) {
                    break;
                }
            }
            return count;
        }

        void prune(long nowMillis, long windowMillis) {
            long keptMillis = Math.max(windowMillis, SendAllowance.SECOND_MILLIS);
            while (!sends.isEmpty() && sends.getFirst().countedMillis() <= nowMillis - keptMillis) {
                sends.removeFirst();
            }
            while (!responses.isEmpty() && responses.getFirst() <= nowMillis - SendAllowance.SECOND_MILLIS) {
                responses.removeFirst();
            }
        }
    }

    /** The number of requests that this instance may send in any window. */
    private record Limit(long requests, long windowMillis) {}

    private final Clock clock;
    private final ColdEndpoints cold;
    private final SenderView view;
    private final long startedMillis;
    private final Map<EndpointIncarnation, Log> logs = new HashMap<>();

    /** Since when this instance is the only sender of its view, for endpoints that tolerate no second one. */
    private final Map<EndpointIncarnation, Long> senderSinceMillis = new HashMap<>();

    /** Creates the policy of a process that has just started, and that does not know what its predecessor sent. */
    public ColdStartPolicy(Clock clock, ColdEndpoints cold, SenderView view) {
        this.clock = clock;
        this.cold = cold;
        this.view = view;
        this.startedMillis = clock.monotonicMillis();
    }

    /** Returns whether {@code endpoint} must be treated as cold now. */
    public boolean isCold(EndpointRecord endpoint, ColdStart coldStart) {
        return cold.isCold(endpoint.incarnation(), coldStart);
    }

    /**
     * Returns whether this instance may send a request to {@code endpoint} now.
     *
     * @param endpoints the number of endpoints of the service
     */
    public boolean maySend(EndpointRecord endpoint, ColdStart coldStart, int endpoints) {
        return waitMillis(endpoint, coldStart, endpoints) == 0;
    }

    /** Records that this instance chose {@code endpoint} for a request that is about to be written. */
    public ColdSend onSent(EndpointRecord endpoint, ColdStart coldStart, int endpoints) {
        ColdSend send = new ColdSend(endpoint, coldStart, endpoints, clock.monotonicMillis());
        logs.computeIfAbsent(endpoint.incarnation(), each -> new Log()).sends.addLast(send);
        return send;
    }

    /**
     * Returns whether {@code send} may be written now, and counts it from now on if so. A process may be frozen between
     * the choice and the write, and the endpoint may have turned cold meanwhile.
     */
    public boolean mayWrite(ColdSend send) {
        EndpointIncarnation endpoint = send.endpoint().incarnation();
        Log log = logs.computeIfAbsent(endpoint, each -> new Log());
        if (!send.isWritten()) {
            log.sends.remove(send);
        }
        if (!maySend(send.endpoint(), send.coldStart(), send.endpoints())) {
            return false;
        }
        if (send.isWritten()) {
            onSent(send.endpoint(), send.coldStart(), send.endpoints());
        } else {
            send.onWritten(clock.monotonicMillis());
            log.sends.addLast(send);
        }
        return true;
    }

    /** Records a successful response of {@code endpoint}. */
    public void onResponse(EndpointIncarnation endpoint) {
        Log log = logs.get(endpoint);
        if (log != null) {
            log.responses.addLast(clock.monotonicMillis());
        }
    }

    /**
     * Returns the time after which a caller should retry if this instance may send to none of {@code endpoints} now, else
     * empty. Callers need not wait for the end of the cold time, because another instance may have allowance left.
     *
     * @param position the position of this caller within the range of return times, from 0 to 1, both inclusive
     */
    public OptionalLong retryAfterMillis(Collection<EndpointRecord> endpoints, ColdStart coldStart, double position) {
        Checks.inRange("position", position, 0, 1);
        long earliestMillis = SendAllowance.SECOND_MILLIS;
        for (EndpointRecord endpoint : endpoints) {
            long waitMillis = waitMillis(endpoint, coldStart, endpoints.size());
            if (waitMillis == 0) {
                return OptionalLong.empty();
            }
            earliestMillis = Math.min(earliestMillis, waitMillis);
        }
        return OptionalLong.of(earliestMillis + Math.round(RETURN_SPREAD_MILLIS * position));
    }

    /** Returns 0 if a request may be sent now, else the time after which the oldest one ceases to count. */
    private long waitMillis(EndpointRecord endpoint, ColdStart coldStart, int endpoints) {
        Log log = prunedLog(endpoint.incarnation(), coldStart);
        Limit limit = limit(endpoint, coldStart, endpoints, log);
        long nowMillis = clock.monotonicMillis();
        long sent = log == null ? 0 : log.countSince(nowMillis - limit.windowMillis());
        if (sent < limit.requests()) {
            return 0;
        }
        long freeMillis = log == null || log.sends.isEmpty() || limit.requests() == 0
                ? cold.endMillis(endpoint.incarnation(), coldStart)
                : log.sends.getFirst().countedMillis() + limit.windowMillis();
        return Math.max(1, freeMillis - nowMillis);
    }

    /** Forgets the runs that are not registered any more. */
    public void onRegistrations(Collection<EndpointRecord> registered) {
        Set<EndpointIncarnation> present =
                registered.stream().map(EndpointRecord::incarnation).collect(Collectors.toSet());
        long earliestMillis = clock.monotonicMillis() - SendAllowance.SECOND_MILLIS;
        senderSinceMillis.keySet().retainAll(present);
        logs.entrySet()
                .removeIf(
                        log -> !present.contains(log.getKey()) && log.getValue().countSince(earliestMillis) == 0);
    }

    private Limit limit(EndpointRecord endpoint, ColdStart coldStart, int endpoints, @Nullable Log log) {
        long nowMillis = clock.monotonicMillis();
        long endMillis = cold.endMillis(endpoint.incarnation(), coldStart);
        SendAllowance coldAllowance = SendAllowance.forCold(coldStart);
        int instances = view.liveInstances();
        if (nowMillis < endMillis) {
            int share = coldAllowance.forView(view).share(view.rank(endpoint.incarnation()), instances);
            boolean hasJustStarted = nowMillis - startedMillis < coldAllowance.windowMillis();
            boolean isSettled = !coldAllowance.isForOneView() || isSettled(endpoint.incarnation(), share > 0);
            if (hasJustStarted || !isSettled) {
                share = 0;
            }
            return new Limit(share, coldAllowance.windowMillis());
        }
        SendAllowance allowance = SendAllowance.forWarm(coldStart, endpoint.slots(), endpoints, view);
        boolean isRamp = endMillis != Long.MIN_VALUE && nowMillis - endMillis < RAMP_MILLIS;
        if (isRamp && allowance.requests() > coldAllowance.requests()) {
            long more = (allowance.requests() - coldAllowance.requests()) * (nowMillis - endMillis) / RAMP_MILLIS;
            allowance = new SendAllowance((int) (coldAllowance.requests() + more), SendAllowance.SECOND_MILLIS);
        }
        int divisor = Math.max(instances, Math.min(view.knownInstances(), allowance.requests()));
        int share = allowance.share(view.rank(endpoint.incarnation()), divisor);
        return new Limit(share + (log == null ? 0 : log.responses.size()), SendAllowance.SECOND_MILLIS);
    }

    /** Returns whether this instance has been the sender to {@code endpoint} for long enough for others to know it. */
    private boolean isSettled(EndpointIncarnation endpoint, boolean isSender) {
        if (!isSender) {
            senderSinceMillis.remove(endpoint);
            return false;
        }
        long sinceMillis = senderSinceMillis.computeIfAbsent(endpoint, each -> clock.monotonicMillis());
        return clock.monotonicMillis() - sinceMillis >= SETTLING_MILLIS;
    }

    private @Nullable Log prunedLog(EndpointIncarnation endpoint, ColdStart coldStart) {
        Log log = logs.get(endpoint);
        if (log != null) {
            log.prune(clock.monotonicMillis(), SendAllowance.forCold(coldStart).windowMillis());
        }
        return log;
    }
}
