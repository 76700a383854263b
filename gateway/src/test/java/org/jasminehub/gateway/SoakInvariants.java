package org.jasminehub.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The invariants that every request of a soak run must satisfy. */
final class SoakInvariants {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** A stream that was requested later than this share of the grace time after the signal must be answered. */
    private static final double LATEST_REQUEST_SHARE = 3.0 / 8;
    /** From this share of the grace time on, a stream on which the endpoint is still working may be cut. */
    private static final double CUT_ALLOWED_SHARE = 5.0 / 6;

    private SoakInvariants() {}

    /** Returns a description of each violation, with the history of the request. */
    static List<String> violations(Collection<SoakCall> calls) {
        List<String> violations = new ArrayList<>();
        for (SoakCall call : calls) {
            check(violations, call, 1, "read but not answered", isAnswered(call));
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
        SoakResponse response = call.response();
        boolean isComplete = response != null && response.isComplete();
        return isComplete || call.isAbandoned() || !call.isSent() || !isRead(call) || isCutAllowed(call);
    }

    /** Returns whether the instance certainly read the whole request. */
    private static boolean isRead(SoakCall call) {
        return !call.arrivals().isEmpty()
                || !call.gateway().harness().callEvents(call.id()).isEmpty()
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
        SoakResponse response = call.response();
        if (call.kind() != SoakCall.Kind.STREAM || call.arrivals().isEmpty() || response == null) {
            return false;
        }
        SoakCall.Arrival last = call.arrivals().get(call.arrivals().size() - 1);
        // A stream that its endpoint broke off and that no endpoint resumed.
        boolean isBrokenOff = call.arrivals().stream().anyMatch(arrival -> arrival.action() == SoakCall.Action.RESET)
                && (last.action() == SoakCall.Action.RESET || last.action() == SoakCall.Action.REFUSED);
        if (response.status() == 200 && isBrokenOff) {
            return true;
        }
        SoakGateway gateway = call.gateway();
        double latestRequestNanos =
                gateway.signalNanos() + LATEST_REQUEST_SHARE * gateway.graceSeconds() * NANOS_PER_SECOND;
        double cutAllowedNanos = gateway.signalNanos() + CUT_ALLOWED_SHARE * gateway.graceSeconds() * NANOS_PER_SECOND;
        // A refused second attempt leaves the silent one open, which then is not the last arrival.
        boolean isSilentOpen = call.arrivals().stream().anyMatch(arrival -> arrival.closedNanos() >= cutAllowedNanos);
        boolean isStillWorking =
                isSilentOpen || last.action() == SoakCall.Action.UNFINISHED || last.endedNanos() >= cutAllowedNanos;
        return call.lastWriteNanos() <= latestRequestNanos && isStillWorking && call.endedNanos() >= cutAllowedNanos;
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
        boolean isRefusal =
                response != null && response.isComplete() && (response.status() == 503 || response.status() == 429);
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
