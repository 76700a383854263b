package org.jasminehub.core.balance;

import org.jasminehub.core.serving.Route;
import org.jasminehub.core.stream.EventId;
import org.jspecify.annotations.Nullable;

/**
 * Decides when a stream without events is sent to a second endpoint, and which events of the second attempt are
 * delivered.
 *
 * <p>Load pattern: an endpoint pauses for one to two seconds, for example while its group re-forms, and under load the
 * other endpoints refuse the call. The silent attempt therefore stays open until another one continues the stream.
 */
public final class SilentStreamPolicy {
    /** Callers give up after 2 s without an event, so a second attempt has 0.8 s to deliver the next one. */
    public static final long EVENT_TIMEOUT_MILLIS = 1_200;

    /** No progress for this long counts as a stall; even the slowest group finishes several passes in that time. */
    public static final long STALL_THRESHOLD_MILLIS = 500;

    /** Interval of further checks, since the retry budget, the capacity and the state of the group change. */
    public static final long CHECK_INTERVAL_MILLIS = 500;

    /** Factor of the target latency; a fully loaded engine starts slowly, and callers wait four times the target. */
    private static final double FIRST_EVENT_TIMEOUT_FACTOR = 2.5;

    /** What happens to an event that an endpoint sent. */
    public enum EventDecision {
        /** The event is delivered to the caller. */
        DELIVER,
        /** The event is discarded. */
        DISCARD,
        /** The event leaves a gap or repeats an earlier one, so the attempt has failed. */
        FAIL_ATTEMPT
    }

    private SilentStreamPolicy() {}

    /** Returns the time after which a stream without a first event is sent to a second endpoint. */
    public static long firstEventTimeoutMillis(Route route) {
        return (long) (route.targetLatencyMillis() * FIRST_EVENT_TIMEOUT_FACTOR);
    }

    /**
     * Returns whether another attempt can continue the response. After an event without an id, it would deliver that
     * event again, or the event was an error after which the stream does not go on.
     *
     * @param isHeadSent whether the caller has the head of a response
     * @param isPositionKnown whether the caller has a stream whose last event has an id
     */
    public static boolean canContinue(boolean isHeadSent, boolean isPositionKnown) {
        return !isHeadSent || isPositionKnown;
    }

    /**
     * Decides on an event with the id {@code eventId}.
     *
     * @param lastEventId the id of the last event that the caller has, null if there is none
     * @param hasOutput whether the caller has any event
     * @param isContinuation whether the attempt would continue the response of another one
     */
    public static EventDecision decide(
            @Nullable EventId eventId, @Nullable EventId lastEventId, boolean hasOutput, boolean isContinuation) {
        if (eventId == null) {
            // Without an id, nothing shows that the event follows the last one or that the caller does not have it.
            return isContinuation && hasOutput ? EventDecision.DISCARD : EventDecision.DELIVER;
        }
        return lastEventId == null || lastEventId.isFollowedBy(eventId)
                ? EventDecision.DELIVER
                : EventDecision.FAIL_ATTEMPT;
    }
}
