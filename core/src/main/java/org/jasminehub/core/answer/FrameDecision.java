package org.jasminehub.core.answer;

import java.util.List;

/** How to process a frame of a response. */
public sealed interface FrameDecision {
    /** Send these bytes to the caller, in this order. */
    record Relay(List<byte[]> data) implements FrameDecision {}

    /** Send nothing yet; the bytes are held back until the response is complete. */
    record Hold() implements FrameDecision {}

    /** Ignore the frame, which is not part of the response. */
    record Drop(DropReason reason) implements FrameDecision {}

    /** Send these bytes and end the response to the caller; it is complete. */
    record Complete(List<byte[]> data, long eventCount) implements FrameDecision {}

    /** A chunk is missing; treat the attempt as interrupted. */
    record Broken(long expectedSequence, long foundSequence) implements FrameDecision {}
}
