package org.jasminehub.core.answer;

import java.util.List;

/** How to process a frame of a response. */
public sealed interface FrameDecision {
    /** Sends these bytes to the caller, in this order. */
    record Relay(List<byte[]> data) implements FrameDecision {}

    /** Sends nothing yet; the bytes are held back until the response is complete. */
    record Hold() implements FrameDecision {}

    /** Ignores the frame, which is not part of the response. */
    record Drop(DropReason reason) implements FrameDecision {}

    /** Sends these bytes and ends the response to the caller; it is complete. */
    record Complete(List<byte[]> data, long eventCount) implements FrameDecision {}

    /** A chunk is missing; the attempt counts as interrupted. */
    record Broken(long expectedSequence, long foundSequence) implements FrameDecision {}
}
