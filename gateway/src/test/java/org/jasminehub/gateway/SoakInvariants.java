package org.jasminehub.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The invariants that every request of a soak run must satisfy. */
final class SoakInvariants {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** A stream that was requested later than this share of the grace time after the signal must be answered. */
    private static final double LATEST_REQUEST_SHARE = 3.0 / 8;
    /** From this share of the grace time on, a stream on which the endpoint is still working may be cut. */
    private static final double CUT_ALLOWED_SHARE = 5.0 / 6;

    /** The time after which a request that a process has read must not end without an answer, even if not passed on. */
    private static final long LOSS_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** What an endpoint does with an attempt that leaves a stream without its rest. */
    private static final Set<SoakCall.Action> FAILURES =
            Set.of(SoakCall.Action.RESET, SoakCall.Action.REFUSED, SoakCall.Action.FAILED);

    /** The statuses that callers read as "not run, and never will be". */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /** The time-out of the streaming route of {@link GatewayHarness}. */
    private static final long STREAM_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(8_000);

    private static final long MIN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** How a request ended for its caller; all but the last two are allowed. */
    enum Outcome {
        ANSWERED,
        /** The caller disconnected without waiting. */
        CALLER_LEFT,
        /** The connection ended before the caller had written the whole request. */
        NOT_SENT,
        /** The connection was reset or ended at once; no process had read the request. */
        NOT_READ,
        /** The endpoint broke the stream off and no other attempt was left. */
        BROKEN_OFF,
        /** An endpoint was still at work on an early request at the end of the grace time. */
        AT_WORK_AT_THE_END,
        /** A stream that had begun lasted as long as its route allows. */
        OUT_OF_TIME,
        /** Sent behind a response that announced the close. */
        BEHIND_THE_CLOSE,
        /** As before, but the connection ended later than the slack, so that the instance may have read the request. */
        LONG_BEHIND_THE_CLOSE,
        /** Pipelined behind a response that was cut, which left no way to answer it. */
        BEHIND_A_CUT,
        /** Read but not passed on, and ended without an answer later than the slack. */
        DROPPED,
        /** Passed on to an endpoint, and ended without a whole answer. */
        LOST
    }

    private SoakInvariants() {}

    /** Returns the number of requests of each outcome. */
    static String summary(Collection<SoakCall> calls) {
        Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);
        Map<Integer, Integer> statuses = new TreeMap<>();
        for (SoakCall call : calls) {
            Outcome outcome = outcome(call);
            counts.merge(outcome, 1, Integer::sum);
            SoakResponse response = call.response();
            if (outcome == Outcome.ANSWERED && response != null) {
                statuses.merge(response.status(), 1, Integer::sum);
            }
        }
        return calls.size() + " requests " + counts + ", statuses " + statuses;
    }

    /** Prints up to {@code countOfEach} requests of each outcome without a whole response, with their histories. */
    static void printExamples(Collection<SoakCall> calls, int countOfEach) {
        for (Outcome outcome : EnumSet.range(Outcome.NOT_READ, Outcome.LOST)) {
            calls.stream()
                    .filter(call -> outcome(call) == outcome)
                    .limit(countOfEach)
                    .forEach(call -> System.out.println(outcome + ": " + call.describe()));
        }
    }

    /** Returns a description of each violation, with the history of the request. */
    static List<String> violations(Collection<SoakCall> calls) {
        List<String> violations = new ArrayList<>();
        for (SoakCall call : calls) {
            check(violations, call, 1, "read but not answered (" + outcome(call) + ")", isAnswered(call));
            check(violations, call, 1, "got the response to another request", isOwnResponse(call));
            check(violations, call, 2, "unsafe request ran twice", isRunOnce(call));
            check(violations, call, 3, "refused although an endpoint may have run it", isRefusalTrue(call));
            check(violations, call, 4, "stream events not contiguous", isContiguous(call));
            check(violations, call, 4, "cut stream looks complete", isWholeIfComplete(call));
            check(violations, call, 5, "connection left open", isConnectionEnded(call));
        }
        return violations;
    }

    private static void check(List<String> violations, SoakCall call, int number, String fault, boolean holds) {
        if (!holds) {
            violations.add("invariant " + number + ": " + fault + ": " + call.describe());
        }
    }

    private static boolean isAnswered(SoakCall call) {
        return outcome(call).compareTo(Outcome.DROPPED) < 0;
    }

    private static Outcome outcome(SoakCall call) {
        SoakResponse response = call.response();
        if (response != null && response.isComplete()) {
            return Outcome.ANSWERED;
        }
        if (call.isAbandoned()) {
            return Outcome.CALLER_LEFT;
        }
        if (!call.isSent()) {
            return Outcome.NOT_SENT;
        }
        if (isRead(call)) {
            return isBrokenOff(call)
                    ? Outcome.BROKEN_OFF
                    : isAtWorkAtTheEnd(call)
                            ? Outcome.AT_WORK_AT_THE_END
                            : isOutOfTime(call) ? Outcome.OUT_OF_TIME : Outcome.LOST;
        }
        if (isBehindTheClose(call)) {
            return isEndedLate(call) ? Outcome.LONG_BEHIND_THE_CLOSE : Outcome.BEHIND_THE_CLOSE;
        }
        if (isBehindACut(call)) {
            return Outcome.BEHIND_A_CUT;
        }
        // A process that closes a connection with unread bytes resets it.
        boolean isReset = call.isReset() || !call.isClosedWithoutResponse();
        return isEndedLate(call) && !isReset ? Outcome.DROPPED : Outcome.NOT_READ;
    }

    /**
     * Returns whether the connection ended later than the slack. A read that does not wait finds a connection that ended
     * before, at a time that the caller does not know.
     */
    private static boolean isEndedLate(SoakCall call) {
        return call.endedNanos() - call.lastWriteNanos() > LOSS_SLACK_NANOS && call.lastReadNanos() > MIN_WAIT_NANOS;
    }

    private static boolean isBehindTheClose(SoakCall call) {
        SoakCall before = call.pipelinedAfter();
        SoakResponse response = before == null ? null : before.response();
        return call.isBehindAnnouncedClose() || (response != null && response.isLastOnConnection());
    }

    private static boolean isBehindACut(SoakCall call) {
        SoakCall before = call.pipelinedAfter();
        SoakResponse response = before == null ? null : before.response();
        return response != null && !response.isComplete() && isRead(before);
    }

    /** Returns whether the instance certainly read the whole request. */
    private static boolean isRead(SoakCall call) {
        return !call.arrivals().isEmpty()
                || !call.gateway().callEvents(call.id()).isEmpty()
                || isReadBehindStream(call);
    }

    /**
     * Returns whether the instance read this pipelined request during the response before it. The instance reads all
     * ready sockets in turn, so it had read the request once it relayed a second event that was written after it. After
     * a response with Connection: close, or one that may be cut, the caller knows that it was not processed.
     */
    private static boolean isReadBehindStream(SoakCall call) {
        SoakCall before = call.pipelinedAfter();
        SoakResponse response = before == null ? null : before.response();
        return response != null
                && !response.isLastOnConnection()
                && before.kind() == SoakCall.Kind.STREAM
                && !isCutAllowed(before)
                && response.events().stream()
                                .filter(event -> event.writtenNanos() > call.sentNanos())
                                .count()
                        >= 2;
    }

    /** Returns whether a started stream may end early, because of its endpoint or because of the end of the process. */
    private static boolean isCutAllowed(SoakCall call) {
        return isBrokenOff(call) || isAtWorkAtTheEnd(call);
    }

    /** Returns whether the endpoint broke off a stream that no endpoint resumed. */
    private static boolean isBrokenOff(SoakCall call) {
        SoakResponse response = call.response();
        if (call.kind() != SoakCall.Kind.STREAM || call.arrivals().isEmpty() || response == null) {
            return false;
        }
        SoakCall.Arrival last = call.arrivals().get(call.arrivals().size() - 1);
        return response.status() == 200
                && call.arrivals().stream().anyMatch(arrival -> arrival.action() == SoakCall.Action.RESET)
                && FAILURES.contains(last.action());
    }

    /** Returns whether an endpoint was still at work, at the end of the grace time, on a request that was sent early. */
    private static boolean isAtWorkAtTheEnd(SoakCall call) {
        if (call.kind() != SoakCall.Kind.STREAM || call.arrivals().isEmpty() || call.response() == null) {
            return false;
        }
        SoakGateway gateway = call.gateway();
        double latestRequestNanos =
                gateway.signalNanos() + LATEST_REQUEST_SHARE * gateway.graceSeconds() * NANOS_PER_SECOND;
        double cutAllowedNanos = gateway.signalNanos() + CUT_ALLOWED_SHARE * gateway.graceSeconds() * NANOS_PER_SECOND;
        // A refused second attempt leaves the first one open, which then is not the last arrival.
        boolean isStillWorking = call.arrivals().stream().anyMatch(arrival -> isWorkingAt(arrival, cutAllowedNanos));
        return call.lastWriteNanos() <= latestRequestNanos && isStillWorking && call.endedNanos() >= cutAllowedNanos;
    }

    /** Returns whether the endpoint was working on the request at {@code nanos} and the gateway still waited for it. */
    private static boolean isWorkingAt(SoakCall.Arrival arrival, double nanos) {
        boolean isUnfinished = arrival.action() == SoakCall.Action.UNFINISHED
                || (arrival.action() != SoakCall.Action.REFUSED && arrival.endedNanos() >= nanos);
        return isUnfinished && (arrival.closedNanos() == 0 || arrival.closedNanos() >= nanos);
    }

    /** Returns whether a stream that had begun was cut at the time-out of its route, which counts from its arrival. */
    private static boolean isOutOfTime(SoakCall call) {
        SoakResponse response = call.response();
        return call.kind() == SoakCall.Kind.STREAM
                && response != null
                && response.status() == 200
                && call.endedNanos() - call.lastWriteNanos() >= STREAM_TIMEOUT_NANOS;
    }

    private static boolean isOwnResponse(SoakCall call) {
        SoakResponse response = call.response();
        return response == null
                || !response.isComplete()
                || response.header("x-attempt-id").equals(call.id());
    }

    private static boolean isRunOnce(SoakCall call) {
        long runs = call.arrivals().stream()
                .filter(arrival -> arrival.action() != SoakCall.Action.REFUSED)
                .count();
        return call.kind() != SoakCall.Kind.UNSAFE || runs <= 1;
    }

    private static boolean isRefusalTrue(SoakCall call) {
        SoakResponse response = call.response();
        boolean isRefusal = response != null && response.isComplete() && PROMISES.contains(response.status());
        return !isRefusal || call.arrivals().stream().allMatch(arrival -> arrival.action() == SoakCall.Action.REFUSED);
    }

    private static boolean isContiguous(SoakCall call) {
        SoakResponse response = call.response();
        if (call.kind() != SoakCall.Kind.STREAM || response == null || response.status() != 200) {
            return true;
        }
        int expected = 1;
        for (SoakResponse.StreamEvent event : response.events()) {
            if (event.id() != expected++) {
                return false;
            }
        }
        return true;
    }

    private static boolean isWholeIfComplete(SoakCall call) {
        SoakResponse response = call.response();
        return call.kind() != SoakCall.Kind.STREAM
                || response == null
                || response.status() != 200
                || !response.isComplete()
                || response.events().size() == call.eventCount();
    }

    private static boolean isConnectionEnded(SoakCall call) {
        SoakResponse response = call.response();
        return response == null || !response.end().equals(SoakResponse.TIMED_OUT);
    }
}
