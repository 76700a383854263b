package org.jasminehub.core.answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.jasminehub.core.document.RouteKind;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.identity.RequestId;
import org.junit.jupiter.api.Test;

final class ResponseAssemblerTest {
    private static final RequestId REQUEST = new RequestId("r-1");
    private static final int MAX_HELD_BYTES = 20;

    private static ResponseAssembler assembler(RouteKind kind) {
        ResponseAssembler assembler = new ResponseAssembler(REQUEST, DeliveryRule.of(kind), MAX_HELD_BYTES);
        assembler.startAttempt(1);
        return assembler;
    }

    private static ResponseFrame chunk(int attempt, long sequence, int event) {
        return new ResponseFrame.Chunk(REQUEST, attempt, sequence, new byte[] {(byte) event});
    }

    private static void collect(FrameDecision decision, List<Integer> events) {
        List<byte[]> data = decision instanceof FrameDecision.Relay relay
                ? relay.data()
                : decision instanceof FrameDecision.Complete complete ? complete.data() : List.of();
        data.forEach(bytes -> events.add((int) bytes[0]));
    }

    /** Attempts end at random positions, and frames arrive late, duplicated or not at all. */
    @Property(seed = "7105", tries = 3000)
    void testStreamArrivesOnceInOrderAndComplete(@ForAll @IntRange(max = 60) int eventCount, @ForAll long seed) {
        Random random = new Random(seed);
        ResponseAssembler assembler = assembler(RouteKind.STREAM);
        List<Integer> relayed = new ArrayList<>();
        List<ResponseFrame> earlier = new ArrayList<>();
        int attempt = 1;
        boolean isComplete = false;
        while (!isComplete) {
            int firstEvent = (int) assembler.relayedEvents();
            int sentCount = random.nextInt(eventCount - firstEvent + 1);
            boolean isLastAttempt = attempt == 6;
            sentCount = isLastAttempt ? eventCount - firstEvent : sentCount;
            List<ResponseFrame> frames = new ArrayList<>();
            for (int i = 0; i < sentCount; i++) {
                frames.add(chunk(attempt, i, firstEvent + i));
            }
            if (firstEvent + sentCount == eventCount && (isLastAttempt || random.nextBoolean())) {
                frames.add(new ResponseFrame.End(REQUEST, attempt, sentCount));
            }
            corrupt(frames, earlier, random, isLastAttempt);
            earlier.addAll(frames);
            for (ResponseFrame frame : frames) {
                FrameDecision decision = assembler.onFrame(frame);
                collect(decision, relayed);
                isComplete |= decision instanceof FrameDecision.Complete;
            }
            if (!isComplete) {
                assembler.onInterrupted(attempt);
                attempt++;
                assembler.startAttempt(attempt);
            }
        }
        assertEquals(eventCount, relayed.size());
        for (int i = 0; i < eventCount; i++) {
            assertEquals(i, relayed.get(i));
        }
    }

    private static void corrupt(
            List<ResponseFrame> frames, List<ResponseFrame> earlier, Random random, boolean keepAll) {
        for (int i = 0; i < 5 && !frames.isEmpty(); i++) {
            int index = random.nextInt(frames.size());
            ResponseFrame frame = frames.get(index);
            switch (random.nextInt(3)) {
                case 0 -> frames.add(index + random.nextInt(frames.size() - index) + 1, frame);
                case 1 -> {
                    if (!earlier.isEmpty()) {
                        frames.add(index, earlier.get(random.nextInt(earlier.size())));
                    }
                }
                default -> {
                    if (!keepAll) {
                        frames.remove(index);
                    }
                }
            }
        }
    }

    @Test
    void testMissingChunkFailsTheAttemptAndStreamResumesBeforeIt() {
        ResponseAssembler assembler = assembler(RouteKind.STREAM);
        assembler.onFrame(chunk(1, 0, 0));
        assertEquals(new FrameDecision.Broken(1, 2), assembler.onFrame(chunk(1, 2, 2)));
        assertInstanceOf(FrameDecision.Drop.class, assembler.onFrame(chunk(1, 1, 1)));
        assertEquals(new InterruptionDecision.Resume(1), assembler.onInterrupted(1));
    }

    @Test
    void testEndFrameBeforeTheLastChunkFailsTheAttempt() {
        ResponseAssembler assembler = assembler(RouteKind.STREAM);
        assembler.onFrame(chunk(1, 0, 0));
        assertEquals(new FrameDecision.Broken(1, 3), assembler.onFrame(new ResponseFrame.End(REQUEST, 1, 3)));
    }

    @Test
    void testHeldBackResponseIsRestartedAfterInterruption() {
        ResponseAssembler assembler = assembler(RouteKind.WHOLE);
        assertInstanceOf(FrameDecision.Hold.class, assembler.onFrame(chunk(1, 0, 0)));
        assertInstanceOf(InterruptionDecision.Restart.class, assembler.onInterrupted(1));
        assembler.startAttempt(2);
        assembler.onFrame(chunk(2, 0, 7));
        var complete =
                assertInstanceOf(FrameDecision.Complete.class, assembler.onFrame(new ResponseFrame.End(REQUEST, 2, 1)));
        assertEquals(7, complete.data().get(0)[0]);
    }

    @Test
    void testInterruptionOfPartlyRelayedLargeResponseIsAnError() {
        ResponseAssembler assembler = assembler(RouteKind.WHOLE);
        byte[] large = new byte[MAX_HELD_BYTES + 1];
        assertInstanceOf(FrameDecision.Relay.class, assembler.onFrame(new ResponseFrame.Chunk(REQUEST, 1, 0, large)));
        var end = assertInstanceOf(InterruptionDecision.GiveUp.class, assembler.onInterrupted(1));
        assertEquals(ErrorCode.ANSWER_CUT, end.code());
        assertTrue(assembler.isEnded());
    }

    @Test
    void testNonIdempotentRequestIsNeverRestarted() {
        ResponseAssembler assembler = assembler(RouteKind.NON_IDEMPOTENT);
        assertInstanceOf(InterruptionDecision.GiveUp.class, assembler.onInterrupted(1));
    }

    @Test
    void testFrameOfAnotherRequestIsDropped() {
        ResponseFrame otherFrame = new ResponseFrame.Chunk(new RequestId("r-2"), 1, 0, new byte[1]);
        assertEquals(
                new FrameDecision.Drop(DropReason.OTHER_REQUEST),
                assembler(RouteKind.STREAM).onFrame(otherFrame));
    }
}
