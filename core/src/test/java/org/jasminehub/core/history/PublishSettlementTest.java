package org.jasminehub.core.history;

import static org.jasminehub.core.history.HistoryFixtures.newReplay;
import static org.jasminehub.core.history.HistoryFixtures.publish;
import static org.jasminehub.core.history.HistoryState.NO_VERSION;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

final class PublishSettlementTest {
    private final HistoryFixtures.Log log = new HistoryFixtures.Log();
    private final HistoryReplay replay = newReplay();
    private final PublishRecord mine = publish("drafts", NO_VERSION, "mine");
    private final PublishSettlement settlement = new PublishSettlement(mine);

    private PublishOutcome readAndSettle() {
        settlement.observe(log.readAll(replay));
        return settlement.outcome(replay);
    }

    @Test
    void testRecordThatIsNotThereYetIsNotYetKnown() {
        assertEquals(new PublishOutcome.NotYetKnown(0), readAndSettle());
    }

    @Test
    void testLostAnswerToAnAppendThatTookEffectIsAccepted() {
        readAndSettle();
        long offset = log.append(mine);
        assertEquals(new PublishOutcome.Accepted(offset), readAndSettle());
    }

    @Test
    void testAcceptedStaysAcceptedAfterItWasReplacedAndRepeated() {
        long offset = log.append(mine);
        log.append(publish("drafts", offset, "next"));
        log.append(mine);
        assertEquals(new PublishOutcome.Accepted(offset), readAndSettle());
    }

    @Test
    void testLostRaceNamesTheWinner() {
        long offset = log.append(publish("drafts", NO_VERSION, "other"));
        log.append(mine);
        assertEquals(new PublishOutcome.Conflicted(offset, "operator-of-other"), readAndSettle());
    }

    @Test
    void testRecordThatNeverArrivedIsSettledOnceItsBaseIsTaken() {
        long offset = log.append(publish("drafts", NO_VERSION, "other"));
        assertEquals(new PublishOutcome.Conflicted(offset, "operator-of-other"), readAndSettle());
    }

    @Test
    void testBaseOfATeamWithoutDocumentIsAConflict() {
        PublishSettlement wrongBase = new PublishSettlement(publish("drafts", 7, "mine"));
        assertEquals(new PublishOutcome.Conflicted(NO_VERSION, ""), wrongBase.outcome(replay));
    }

    @Test
    void testDocumentThatDoesNotPassTheSchemaIsRejected() {
        log.append(HistoryFixtures.invalidPublish("drafts", NO_VERSION, "mine"));
        assertEquals(PublishOutcome.Rejected.class, readAndSettle().getClass());
    }

    @Test
    void testDroppedRecordIsSettledByTheSnapshotWhereItCanBe() {
        readAndSettle();
        long offset = log.append(mine);
        HistoryState state = log.replayAll().state();
        log.dropBelow(offset + 1);
        log.append("{\"type\":\"lease\"}");
        assertEquals(new PublishOutcome.NotYetKnown(2), readAndSettle());
        log.appendSnapshot(state, "round");
        assertEquals(new PublishOutcome.Accepted(offset), readAndSettle());
    }

    @Test
    void testDroppedRecordThatMayHaveBeenReplacedIsUntraceable() {
        readAndSettle();
        long offset = log.append(mine);
        long next = log.append(publish("drafts", offset, "next"));
        log.dropBelow(next + 1);
        log.appendSnapshot(log.replayAllFromStart().state(), "round");
        assertEquals(new PublishOutcome.Untraceable(next), readAndSettle());
    }
}
