package org.jasminehub.core.history;

import static org.jasminehub.core.history.HistoryFixtures.newReplay;
import static org.jasminehub.core.history.HistoryFixtures.publish;
import static org.jasminehub.core.history.HistoryState.NO_VERSION;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class RepairPolicyTest {
    private static final int RECORDS = 10;

    private final HistoryFixtures.Log log = new HistoryFixtures.Log();
    private final HistoryReplay replay = newReplay();
    private final RecordBuffer buffer = new RecordBuffer(1_600);
    private final RepairPolicy policy = new RepairPolicy(4, 2_000);

    @BeforeEach
    void readRecords() {
        long base = NO_VERSION;
        for (int i = 0; i < RECORDS; i++) {
            base = log.append(publish("drafts", base, "nonce-" + i));
        }
        log.readAll(replay);
        log.records(0, RECORDS).forEach(buffer::add);
    }

    private RepairReply replyTo(long fromOffset) {
        return policy.answer(fromOffset, 100, replay.state(), buffer);
    }

    @Test
    void testSlightlyLaggingPeerGetsRecordsUpToTheLimit() {
        RepairReply.Records records = (RepairReply.Records) replyTo(RECORDS - 5);
        assertEquals(
                List.of(5L, 6L, 7L, 8L),
                records.records().stream().map(OffsetRecord::offset).toList());
    }

    @Test
    void testPeerGetsStateIfMissingRecordsAreNoLongerHeld() {
        assertEquals(new RepairReply.State(replay.state()), replyTo(0));
    }

    @Test
    void testPeerThatIsUpToDateOrAheadGetsNoRecords() {
        assertEquals(new RepairReply.Records(List.of()), replyTo(RECORDS));
        assertEquals(new RepairReply.Records(List.of()), replyTo(RECORDS + 5));
    }

    @Test
    void testPeerGetsStateIfBufferEndsBeforeInstalledState() {
        replay.install(replay.state().withCompleteTo(500), "entry-2");
        assertEquals(new RepairReply.State(replay.state()), replyTo(RECORDS - 1));
    }

    @Test
    void testLaggingPeerCatchesUpThroughRepairReplies() {
        HistoryReplay lagging = newReplay();
        while (lagging.nextOffset() < RECORDS) {
            RepairReply reply = replyTo(lagging.nextOffset());
            if (reply instanceof RepairReply.Records records) {
                lagging.applyPeerRecords(records.records());
            } else if (reply instanceof RepairReply.State state) {
                lagging.install(state.state(), "entry-2");
            }
        }
        assertEquals(replay.state(), lagging.state());
    }
}
