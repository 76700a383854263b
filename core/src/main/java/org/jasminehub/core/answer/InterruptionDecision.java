package org.jasminehub.core.answer;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;

/** How to proceed when an attempt ends before its response is complete. */
public sealed interface InterruptionDecision {
    /** Another attempt may resume after the first {@code relayedEvents} events. */
    record Resume(long relayedEvents) implements InterruptionDecision {}

    /** Another attempt may produce the response from the start. */
    record Restart() implements InterruptionDecision {}

    /** The caller is informed that the response is incomplete. */
    record GiveUp(ErrorCode code, Outcome outcome) implements InterruptionDecision {}

    /** Nothing is done, since the attempt is not the newest or the response has already ended. */
    record Ignore() implements InterruptionDecision {}
}
