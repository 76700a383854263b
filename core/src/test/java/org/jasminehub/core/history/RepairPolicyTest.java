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

    private RepairAnswer answer(long fromOffset) {
        return policy.answer(fromOffset, 100, replay.state(), buffer);
    }

    @Test
    void testPeerThatLagsALittleGetsRecordsUpToTheLimit() {
        RepairAnswer.Records records = (RepairAnswer.Records) answer(RECORDS - 5);
        assertEquals(
                List.of(5L, 6L, 7L, 8L),
                records.records().stream().map(OffsetRecord::offset).toList());
    }

    @Test
    void testPeerWhoseRecordsAreNoLongerHeldGetsTheState() {
        assertEquals(new RepairAnswer.State(replay.state()), answer(0));
    }

    @Test
    void testPeerThatIsLevelOrAheadGetsNothing() {
        assertEquals(new RepairAnswer.Records(List.of()), answer(RECORDS));
        assertEquals(new RepairAnswer.Records(List.of()), answer(RECORDS + 5));
    }

    @Test
    void testRecordsFromBeforeATakenOverStateAreNotTakenForAllThereIs() {
        replay.install(replay.state().withCompleteTo(500), "entry-2");
        assertEquals(new RepairAnswer.State(replay.state()), answer(RECORDS - 1));
    }

    @Test
    void testPeersMendEachOtherRecordByRecord() {
        HistoryReplay lagging = newReplay();
        while (lagging.nextOffset() < RECORDS) {
            RepairAnswer answer = answer(lagging.nextOffset());
            if (answer instanceof RepairAnswer.Records records) {
                lagging.applyPeerRecords(records.records());
            } else if (answer instanceof RepairAnswer.State state) {
                lagging.install(state.state(), "entry-2");
            }
        }
        assertEquals(replay.state(), lagging.state());
    }
}
