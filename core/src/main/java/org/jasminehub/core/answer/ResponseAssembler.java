package org.jasminehub.core.answer;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.internal.Checks;

/**
 * Assembles the response to one request from the frames of its attempts.
 *
 * <p>Only frames of the newest attempt are used, each once and in order. A response is complete only if the attempt
 * sent an end frame and every chunk has arrived; otherwise the attempt was interrupted. An interrupted stream resumes
 * with the event after the last one relayed. A response that is not a stream is held back until it is complete,
 * unless it exceeds a size limit; from then on its chunks are relayed as they arrive.
 *
 * <pre>{@code
 * ResponseAssembler assembler = new ResponseAssembler(requestId, DeliveryRule.of(route.kind()), MAX_HELD_BYTES);
 * assembler.startAttempt(1);
 * FrameDecision decision = assembler.onFrame(frame);
 * }</pre>
 *
 * <p>Arguments must not be null. Not thread-safe.
 */
public final class ResponseAssembler {
    private final RequestId requestId;
    private final DeliveryRule rule;
    private final long maxHeldBytes;
    private final List<byte[]> heldChunks = new ArrayList<>();
    private long heldBytes;
    private long relayedChunks;
    private long nextSequence;
    private int attempt;
    private boolean isAttemptOpen;
    private boolean isEnded;

    /** Creates an assembler that holds back at most {@code maxHeldBytes} of the response. */
    public ResponseAssembler(RequestId requestId, DeliveryRule rule, long maxHeldBytes) {
        this.requestId = requestId;
        this.rule = rule;
        this.maxHeldBytes = Checks.notNegative("maxHeldBytes", maxHeldBytes);
    }

    /** Starts {@code newAttempt}, whose number must be higher than before; frames of earlier attempts are dropped. */
    public void startAttempt(int newAttempt) {
        Checks.that(newAttempt > attempt, "attempt", newAttempt, "above " + attempt);
        attempt = newAttempt;
        nextSequence = 0;
        heldChunks.clear();
        heldBytes = 0;
        isAttemptOpen = !isEnded;
    }

    /** Returns the number of events relayed to the caller; a new attempt of a stream resumes after them. */
    public long relayedEvents() {
        return relayedChunks;
    }

    /** Returns whether the response has ended, either complete or given up. */
    public boolean isEnded() {
        return isEnded;
    }

    /** Processes a frame that has arrived. */
    public FrameDecision onFrame(ResponseFrame frame) {
        if (!frame.requestId().equals(requestId)) {
            return new FrameDecision.Drop(DropReason.OTHER_REQUEST);
        }
        if (isEnded) {
            return new FrameDecision.Drop(DropReason.AFTER_END);
        }
        if (frame.attempt() != attempt || !isAttemptOpen) {
            return new FrameDecision.Drop(DropReason.OLD_ATTEMPT);
        }
        return frame instanceof ResponseFrame.Chunk chunk ? onChunk(chunk) : onEnd((ResponseFrame.End) frame);
    }

    /** Called when {@code interruptedAttempt} ends without an end frame, for any reason. */
    public InterruptionDecision onInterrupted(int interruptedAttempt) {
        if (isEnded || interruptedAttempt != attempt) {
            return new InterruptionDecision.Ignore();
        }
        isAttemptOpen = false;
        heldChunks.clear();
        heldBytes = 0;
        if (relayedChunks > 0 && rule.mayResume()) {
            return new InterruptionDecision.Resume(relayedChunks);
        }
        if (relayedChunks == 0 && rule.mayRestart()) {
            return new InterruptionDecision.Restart();
        }
        isEnded = true;
        ErrorCode code = relayedChunks > 0 ? ErrorCode.ANSWER_CUT : ErrorCode.OUTCOME_UNKNOWN;
        return new InterruptionDecision.GiveUp(code, Outcome.UNKNOWN);
    }

    /** Ends the response: no further attempt is made and later frames are dropped. */
    public void giveUp() {
        isEnded = true;
        isAttemptOpen = false;
        heldChunks.clear();
    }

    private FrameDecision onChunk(ResponseFrame.Chunk chunk) {
        if (chunk.sequence() < nextSequence) {
            return new FrameDecision.Drop(DropReason.REPEATED);
        }
        if (chunk.sequence() > nextSequence) {
            return failAttempt(chunk.sequence());
        }
        nextSequence++;
        heldChunks.add(chunk.data());
        heldBytes += chunk.data().length;
        boolean isHeldBack = !rule.isRelayedAtOnce() && relayedChunks == 0 && heldBytes <= maxHeldBytes;
        return isHeldBack ? new FrameDecision.Hold() : new FrameDecision.Relay(release());
    }

    private FrameDecision onEnd(ResponseFrame.End end) {
        if (end.chunkCount() != nextSequence) {
            return failAttempt(end.chunkCount());
        }
        isEnded = true;
        isAttemptOpen = false;
        List<byte[]> rest = release();
        return new FrameDecision.Complete(rest, relayedChunks);
    }

    private FrameDecision failAttempt(long foundSequence) {
        isAttemptOpen = false;
        return new FrameDecision.Broken(nextSequence, foundSequence);
    }

    private List<byte[]> release() {
        List<byte[]> released = List.copyOf(heldChunks);
        relayedChunks += released.size();
        heldChunks.clear();
        heldBytes = 0;
        return released;
    }
}
