package org.jasminehub.core.answer;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.internal.Checks;

/**
 * Puts one request's answer together from the frames of its attempts.
 *
 * <p>Only the newest attempt's frames count, each once and in order. An answer is whole only when the attempt said so
 * and every chunk has come; everything else is a cut. A stream that was cut goes on with the event after the last one
 * relayed. A whole answer is held back until it is complete, up to a size from which on it is relayed as it comes.
 *
 * <pre>{@code
 * AnswerAssembler assembler = new AnswerAssembler(requestId, DeliveryRule.of(route.kind()), MAX_HELD_BYTES);
 * assembler.startAttempt(1);
 * FrameDecision decision = assembler.take(frame);
 * }</pre>
 *
 * <p>Arguments must not be null. Not safe for use by several threads.
 */
public final class AnswerAssembler {
    private final RequestId requestId;
    private final DeliveryRule rule;
    private final long maxHeldBytes;
    private final List<byte[]> held = new ArrayList<>();
    private long heldBytes;
    private long relayedChunks;
    private long nextSequence;
    private int attempt;
    private boolean isAttemptOpen;
    private boolean isEnded;

    /** Creates the assembler of a request that holds back at most {@code maxHeldBytes} of an answer. */
    public AnswerAssembler(RequestId requestId, DeliveryRule rule, long maxHeldBytes) {
        this.requestId = requestId;
        this.rule = rule;
        this.maxHeldBytes = Checks.notNegative("maxHeldBytes", maxHeldBytes);
    }

    /** Makes {@code newAttempt}, which must be above earlier ones, the only one whose frames count. */
    public void startAttempt(int newAttempt) {
        Checks.that(newAttempt > attempt, "attempt", newAttempt, "above " + attempt);
        attempt = newAttempt;
        nextSequence = 0;
        held.clear();
        heldBytes = 0;
        isAttemptOpen = !isEnded;
    }

    /** Returns how many events the caller has; a new attempt of a stream starts after them. */
    public long relayedEvents() {
        return relayedChunks;
    }

    /** Tells whether the answer has ended, whole or given up. */
    public boolean isEnded() {
        return isEnded;
    }

    /** Takes a frame that has arrived. */
    public FrameDecision take(AnswerFrame frame) {
        if (!frame.requestId().equals(requestId)) {
            return new FrameDecision.Drop(DropReason.OTHER_REQUEST);
        }
        if (isEnded) {
            return new FrameDecision.Drop(DropReason.AFTER_END);
        }
        if (frame.attempt() != attempt || !isAttemptOpen) {
            return new FrameDecision.Drop(DropReason.OLD_ATTEMPT);
        }
        return frame instanceof AnswerFrame.Chunk chunk ? takeChunk(chunk) : takeEnd((AnswerFrame.End) frame);
    }

    /** Takes the end of {@code cutAttempt} without an end frame, for whatever reason. */
    public CutDecision cut(int cutAttempt) {
        if (isEnded || cutAttempt != attempt) {
            return new CutDecision.Ignore();
        }
        isAttemptOpen = false;
        held.clear();
        heldBytes = 0;
        if (relayedChunks > 0 && rule.mayResume()) {
            return new CutDecision.Resume(relayedChunks);
        }
        if (relayedChunks == 0 && rule.mayRestart()) {
            return new CutDecision.Restart();
        }
        isEnded = true;
        ErrorCode code = relayedChunks > 0 ? ErrorCode.ANSWER_CUT : ErrorCode.OUTCOME_UNKNOWN;
        return new CutDecision.GiveUp(code, Outcome.UNKNOWN);
    }

    /** Ends the answer: no further attempt is made and no frame counts any more. */
    public void giveUp() {
        isEnded = true;
        isAttemptOpen = false;
        held.clear();
    }

    private FrameDecision takeChunk(AnswerFrame.Chunk chunk) {
        if (chunk.sequence() < nextSequence) {
            return new FrameDecision.Drop(DropReason.REPEATED);
        }
        if (chunk.sequence() > nextSequence) {
            return breakAttempt(chunk.sequence());
        }
        nextSequence++;
        held.add(chunk.data());
        heldBytes += chunk.data().length;
        boolean isHeldBack = !rule.isRelayedAtOnce() && relayedChunks == 0 && heldBytes <= maxHeldBytes;
        return isHeldBack ? new FrameDecision.Hold() : new FrameDecision.Relay(release());
    }

    private FrameDecision takeEnd(AnswerFrame.End end) {
        if (end.chunkCount() != nextSequence) {
            return breakAttempt(end.chunkCount());
        }
        isEnded = true;
        isAttemptOpen = false;
        List<byte[]> rest = release();
        return new FrameDecision.Complete(rest, relayedChunks);
    }

    private FrameDecision breakAttempt(long foundSequence) {
        isAttemptOpen = false;
        return new FrameDecision.Broken(nextSequence, foundSequence);
    }

    private List<byte[]> release() {
        List<byte[]> released = List.copyOf(held);
        relayedChunks += released.size();
        held.clear();
        heldBytes = 0;
        return released;
    }
}
