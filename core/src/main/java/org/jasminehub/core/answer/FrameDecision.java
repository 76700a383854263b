package org.jasminehub.core.answer;

import java.util.List;

/** What to do with a frame. */
public sealed interface FrameDecision {
    /** Send these bytes to the caller, in this order. */
    record Relay(List<byte[]> data) implements FrameDecision {}

    /** Nothing yet; the bytes are held back until the answer is whole. */
    record Hold() implements FrameDecision {}

    /** Nothing; the frame does not belong to the answer any more. */
    record Drop(DropReason reason) implements FrameDecision {}

    /** Send these bytes and end the caller's answer; it is whole. */
    record Complete(List<byte[]> data, long eventCount) implements FrameDecision {}

    /** The attempt's frames contradict each other; treat the attempt as cut. */
    record Broken(long expectedSequence, long foundSequence) implements FrameDecision {}
}
