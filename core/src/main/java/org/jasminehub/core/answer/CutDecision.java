package org.jasminehub.core.answer;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;

/** What to do when an attempt ends before its answer is whole. */
public sealed interface CutDecision {
    /** Another attempt may go on after the first {@code relayedEvents} events. */
    record Resume(long relayedEvents) implements CutDecision {}

    /** Another attempt may give the whole answer from its start. */
    record Restart() implements CutDecision {}

    /** The caller must be told that its answer is not whole. */
    record GiveUp(ErrorCode code, Outcome outcome) implements CutDecision {}

    /** Nothing; the attempt had been given up or the answer had ended. */
    record Ignore() implements CutDecision {}
}
