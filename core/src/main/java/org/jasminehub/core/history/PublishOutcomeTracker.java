package org.jasminehub.core.history;

import java.util.List;
import java.util.Optional;
import org.jasminehub.core.identity.TeamId;

/**
 * Determines the outcome of one publish by watching the log for its nonce, even if the response to the append was lost.
 *
 * <p>Only the first decision on the nonce counts, because the second copy of a record that was stored twice conflicts
 * with the first. Without a decision the outcome is known as soon as the base is no longer the version in force, since
 * the publish can then no longer be accepted.
 *
 * <pre>{@code
 * PublishOutcomeTracker tracker = new PublishOutcomeTracker(publish);
 * tracker.observe(replay.applyLogPage(...));
 * PublishOutcome outcome = tracker.outcome(replay);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class PublishOutcomeTracker {
    private final PublishRecord publish;
    private Optional<PublishOutcome> decision = Optional.empty();
    private boolean missedRecords;

    /** Creates a tracker for {@code publish}; it must observe all events from before the append on. */
    public PublishOutcomeTracker(PublishRecord publish) {
        this.publish = publish;
    }

    /** Observes the events of the next records that a replay applied. */
    public void observe(List<HistoryEvent> events) {
        for (HistoryEvent event : events) {
            missedRecords |= event instanceof HistoryEvent.StateInstalled;
            if (decision.isEmpty()) {
                decision = decisionOf(event);
            }
        }
    }

    /** Returns the outcome as far as the records that {@code replay} has applied determine it. */
    public PublishOutcome outcome(HistoryReplay replay) {
        if (decision.isPresent()) {
            return decision.get();
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
        boolean replacedSameBase = source.baseVersion() == publish.baseVersion();
        if (missedRecords && !replacedSameBase) {
            return new PublishOutcome.Untraceable(versionInForce);
        }
        return new PublishOutcome.Conflicted(versionInForce, source.operator());
    }

    private Optional<PublishOutcome> decisionOf(HistoryEvent event) {
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
