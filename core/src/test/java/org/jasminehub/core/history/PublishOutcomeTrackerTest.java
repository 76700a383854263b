package org.jasminehub.core.history;

import static org.jasminehub.core.history.HistoryFixtures.newReplay;
import static org.jasminehub.core.history.HistoryFixtures.publish;
import static org.jasminehub.core.history.HistoryState.NO_VERSION;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

final class PublishOutcomeTrackerTest {
    private final HistoryFixtures.Log log = new HistoryFixtures.Log();
    private final HistoryReplay replay = newReplay();
    private final PublishRecord ownPublish = publish("drafts", NO_VERSION, "mine");
    private final PublishOutcomeTracker tracker = new PublishOutcomeTracker(ownPublish);

    private PublishOutcome readAndGetOutcome() {
        tracker.observe(log.readAll(replay));
        return tracker.outcome(replay);
    }

    @Test
    void testOutcomeIsNotYetKnownBeforeRecordIsRead() {
        assertEquals(new PublishOutcome.NotYetKnown(0), readAndGetOutcome());
    }

    @Test
    void testPublishIsAcceptedAlthoughAppendResponseWasLost() {
        readAndGetOutcome();
        long offset = log.append(ownPublish);
        assertEquals(new PublishOutcome.Accepted(offset), readAndGetOutcome());
    }

    @Test
    void testAcceptedPublishStaysAcceptedAfterReplacementAndDuplicate() {
        long offset = log.append(ownPublish);
        log.append(publish("drafts", offset, "next"));
        log.append(ownPublish);
        assertEquals(new PublishOutcome.Accepted(offset), readAndGetOutcome());
    }

    @Test
    void testLostRaceNamesTheWinner() {
        long offset = log.append(publish("drafts", NO_VERSION, "other"));
        log.append(ownPublish);
        assertEquals(new PublishOutcome.Conflicted(offset, "operator-of-other"), readAndGetOutcome());
    }

    @Test
    void testMissingRecordConflictsOnceItsBaseIsReplaced() {
        long offset = log.append(publish("drafts", NO_VERSION, "other"));
        assertEquals(new PublishOutcome.Conflicted(offset, "operator-of-other"), readAndGetOutcome());
    }

    @Test
    void testBaseVersionOfTeamWithoutDocumentConflicts() {
        PublishOutcomeTracker wrongBase = new PublishOutcomeTracker(publish("drafts", 7, "mine"));
        assertEquals(new PublishOutcome.Conflicted(NO_VERSION, ""), wrongBase.outcome(replay));
    }

    @Test
    void testDocumentThatViolatesTheSchemaIsRejected() {
        log.append(HistoryFixtures.invalidPublish("drafts", NO_VERSION, "mine"));
        assertEquals(PublishOutcome.Rejected.class, readAndGetOutcome().getClass());
    }

    @Test
    void testSnapshotDeterminesOutcomeOfDroppedRecord() {
        readAndGetOutcome();
        long offset = log.append(ownPublish);
        HistoryState state = log.replayAll().state();
        log.dropBelow(offset + 1);
        log.append("{\"type\":\"lease\"}");
        assertEquals(new PublishOutcome.NotYetKnown(2), readAndGetOutcome());
        log.appendSnapshot(state, "round");
        assertEquals(new PublishOutcome.Accepted(offset), readAndGetOutcome());
    }

    @Test
    void testDroppedRecordThatMayHaveBeenReplacedIsUntraceable() {
        readAndGetOutcome();
        long offset = log.append(ownPublish);
        long next = log.append(publish("drafts", offset, "next"));
        log.dropBelow(next + 1);
        log.appendSnapshot(log.replayAllFromStart().state(), "round");
        assertEquals(new PublishOutcome.Untraceable(next), readAndGetOutcome());
    }
}
