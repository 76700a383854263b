package org.jasminehub.core.history;

import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * Decides how to reply to a peer that requests records from an offset.
 *
 * <p>Immutable.
 */
public final class RepairPolicy {
    private final int maxRecords;
    private final long maxBytes;

    /** Creates a policy with at most {@code maxRecords} and about {@code maxBytes} of payload in a reply. */
    public RepairPolicy(int maxRecords, long maxBytes) {
        this.maxRecords = (int) Checks.positive("maxRecords", maxRecords);
        this.maxBytes = Checks.positive("maxBytes", maxBytes);
    }

    /** Returns the reply to a peer that requests {@code requestedRecords} records from {@code fromOffset}. */
    public RepairReply answer(long fromOffset, int requestedRecords, HistoryState state, RecordBuffer buffer) {
        if (fromOffset >= state.completeTo()) {
            return new RepairReply.Records(List.of());
        }
        if (!buffer.holds(fromOffset, state.completeTo())) {
            return new RepairReply.State(state);
        }
        return new RepairReply.Records(buffer.read(fromOffset, Math.min(requestedRecords, maxRecords), maxBytes));
    }
}
