package org.jasminehub.core.history;

import java.util.List;
import java.util.Optional;
import org.jasminehub.core.identity.TeamId;

/**
 * Finds out what became of one publish by reading on for its nonce, whatever happened to the append's answer.
 *
 * <p>The first decision on the nonce counts: a record that was stored twice conflicts with itself the second time.
 * Without any, the publish is settled as soon as its base is no longer in force, since it then can't be accepted.
 *
 * <pre>{@code
 * PublishSettlement settlement = new PublishSettlement(publish);
 * settlement.observe(replay.applyLogPage(...));
 * PublishOutcome outcome = settlement.outcome(replay);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class PublishSettlement {
    private final PublishRecord publish;
    private Optional<PublishOutcome> decided = Optional.empty();
    private boolean missedRecords;

    /** Creates a settlement of {@code publish}, to be shown all that is read from before it was appended. */
    public PublishSettlement(PublishRecord publish) {
        this.publish = publish;
    }

    /** Takes what a replay did with the next records. */
    public void observe(List<HistoryEvent> events) {
        for (HistoryEvent event : events) {
            missedRecords |= event instanceof HistoryEvent.StateInstalled;
            if (decided.isEmpty()) {
                decided = decisionIn(event);
            }
        }
    }

    /** Returns what is known after the records that {@code replay} has read. */
    public PublishOutcome outcome(HistoryReplay replay) {
        if (decided.isPresent()) {
            return decided.get();
        }
        if (!replay.isComplete()) {
            return new PublishOutcome.NotYetKnown(replay.nextOffset());
        }
        return outcomeWithoutDecision(replay.state());
    }

    private PublishOutcome outcomeWithoutDecision(HistoryState state) {
        Optional<VersionedDocument> current = state.document(new TeamId(publish.team()));
        long versionInForce = state.version(new TeamId(publish.team()));
        if (versionInForce == publish.baseVersion()) {
            return new PublishOutcome.NotYetKnown(state.completeTo());
        }
        if (current.isEmpty()) {
            return new PublishOutcome.Conflicted(versionInForce, "");
        }
        AcceptedDocument source = current.get().source();
        if (source.nonce().equals(publish.nonce())) {
            return new PublishOutcome.Accepted(versionInForce);
        }
        boolean baseWasTaken = source.baseVersion() == publish.baseVersion();
        if (missedRecords && !baseWasTaken) {
            return new PublishOutcome.Untraceable(versionInForce);
        }
        return new PublishOutcome.Conflicted(versionInForce, source.operator());
    }

    private Optional<PublishOutcome> decisionIn(HistoryEvent event) {
        if (event instanceof HistoryEvent.DocumentAccepted accepted
                && accepted.entry().nonce().equals(publish.nonce())) {
            return Optional.of(new PublishOutcome.Accepted(accepted.entry().version()));
        }
        if (event instanceof HistoryEvent.PublishConflicted conflict
                && conflict.nonce().equals(publish.nonce())) {
            return Optional.of(new PublishOutcome.Conflicted(conflict.versionInForce(), conflict.winner()));
        }
        if (event instanceof HistoryEvent.PublishRejected rejected
                && rejected.nonce().equals(publish.nonce())) {
            return Optional.of(new PublishOutcome.Rejected(rejected.cause()));
        }
        return Optional.empty();
    }
}
