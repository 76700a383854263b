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

final class AnswerAssemblerTest {
    private static final RequestId REQUEST = new RequestId("r-1");
    private static final int MAX_HELD_BYTES = 20;

    private static AnswerAssembler assembler(RouteKind kind) {
        AnswerAssembler assembler = new AnswerAssembler(REQUEST, DeliveryRule.of(kind), MAX_HELD_BYTES);
        assembler.startAttempt(1);
        return assembler;
    }

    private static AnswerFrame chunk(int attempt, long sequence, int event) {
        return new AnswerFrame.Chunk(REQUEST, attempt, sequence, new byte[] {(byte) event});
    }

    private static void collect(FrameDecision decision, List<Integer> events) {
        List<byte[]> data = decision instanceof FrameDecision.Relay relay
                ? relay.data()
                : decision instanceof FrameDecision.Complete complete ? complete.data() : List.of();
        data.forEach(bytes -> events.add((int) bytes[0]));
    }

    /** Endpoints die at random places; frames of all attempts come late, repeated and out of order. */
    @Property(seed = "7105", tries = 3000)
    void testStreamArrivesOnceInOrderAndWhole(@ForAll @IntRange(max = 60) int eventCount, @ForAll long seed) {
        Random random = new Random(seed);
        AnswerAssembler assembler = assembler(RouteKind.STREAM);
        List<Integer> relayed = new ArrayList<>();
        List<AnswerFrame> earlier = new ArrayList<>();
        int attempt = 1;
        boolean isWhole = false;
        while (!isWhole) {
            int firstEvent = (int) assembler.relayedEvents();
            int sentCount = random.nextInt(eventCount - firstEvent + 1);
            boolean isLastAttempt = attempt == 6;
            sentCount = isLastAttempt ? eventCount - firstEvent : sentCount;
            List<AnswerFrame> frames = new ArrayList<>();
            for (int i = 0; i < sentCount; i++) {
                frames.add(chunk(attempt, i, firstEvent + i));
            }
            if (firstEvent + sentCount == eventCount && (isLastAttempt || random.nextBoolean())) {
                frames.add(new AnswerFrame.End(REQUEST, attempt, sentCount));
            }
            disturb(frames, earlier, random, isLastAttempt);
            earlier.addAll(frames);
            for (AnswerFrame frame : frames) {
                FrameDecision decision = assembler.take(frame);
                collect(decision, relayed);
                isWhole |= decision instanceof FrameDecision.Complete;
            }
            if (!isWhole) {
                assembler.cut(attempt);
                attempt++;
                assembler.startAttempt(attempt);
            }
        }
        assertEquals(eventCount, relayed.size());
        for (int i = 0; i < eventCount; i++) {
            assertEquals(i, relayed.get(i));
        }
    }

    private static void disturb(List<AnswerFrame> frames, List<AnswerFrame> earlier, Random random, boolean isKept) {
        for (int i = 0; i < 5 && !frames.isEmpty(); i++) {
            int place = random.nextInt(frames.size());
            AnswerFrame frame = frames.get(place);
            switch (random.nextInt(3)) {
                case 0 -> frames.add(place + random.nextInt(frames.size() - place) + 1, frame);
                case 1 -> {
                    if (!earlier.isEmpty()) {
                        frames.add(place, earlier.get(random.nextInt(earlier.size())));
                    }
                }
                default -> {
                    if (!isKept) {
                        frames.remove(place);
                    }
                }
            }
        }
    }

    @Test
    void testMissingChunkBreaksTheAttemptAndStreamResumesBeforeIt() {
        AnswerAssembler assembler = assembler(RouteKind.STREAM);
        assembler.take(chunk(1, 0, 0));
        assertEquals(new FrameDecision.Broken(1, 2), assembler.take(chunk(1, 2, 2)));
        assertInstanceOf(FrameDecision.Drop.class, assembler.take(chunk(1, 1, 1)));
        assertEquals(new CutDecision.Resume(1), assembler.cut(1));
    }

    @Test
    void testEndBeforeTheLastChunkIsNoEnd() {
        AnswerAssembler assembler = assembler(RouteKind.STREAM);
        assembler.take(chunk(1, 0, 0));
        assertEquals(new FrameDecision.Broken(1, 3), assembler.take(new AnswerFrame.End(REQUEST, 1, 3)));
    }

    @Test
    void testWholeAnswerIsHeldBackAndStartedAgainAfterACut() {
        AnswerAssembler assembler = assembler(RouteKind.WHOLE);
        assertInstanceOf(FrameDecision.Hold.class, assembler.take(chunk(1, 0, 0)));
        assertInstanceOf(CutDecision.Restart.class, assembler.cut(1));
        assembler.startAttempt(2);
        assembler.take(chunk(2, 0, 7));
        var whole = assertInstanceOf(FrameDecision.Complete.class, assembler.take(new AnswerFrame.End(REQUEST, 2, 1)));
        assertEquals(7, whole.data().get(0)[0]);
    }

    @Test
    void testLargeWholeAnswerIsRelayedAndItsCutIsAnError() {
        AnswerAssembler assembler = assembler(RouteKind.WHOLE);
        byte[] large = new byte[MAX_HELD_BYTES + 1];
        assertInstanceOf(FrameDecision.Relay.class, assembler.take(new AnswerFrame.Chunk(REQUEST, 1, 0, large)));
        var end = assertInstanceOf(CutDecision.GiveUp.class, assembler.cut(1));
        assertEquals(ErrorCode.ANSWER_CUT, end.code());
        assertTrue(assembler.isEnded());
    }

    @Test
    void testNonIdempotentAnswerIsNeverAskedForAgain() {
        AnswerAssembler assembler = assembler(RouteKind.NON_IDEMPOTENT);
        assertInstanceOf(CutDecision.GiveUp.class, assembler.cut(1));
    }

    @Test
    void testFrameOfAnotherRequestIsDropped() {
        AnswerFrame foreign = new AnswerFrame.Chunk(new RequestId("r-2"), 1, 0, new byte[1]);
        assertEquals(
                new FrameDecision.Drop(DropReason.OTHER_REQUEST),
                assembler(RouteKind.STREAM).take(foreign));
    }
}
