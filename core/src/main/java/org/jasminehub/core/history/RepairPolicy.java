package org.jasminehub.core.history;

import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * Decides what a peer that asks for records from an offset gets.
 *
 * <p>Immutable.
 */
public final class RepairPolicy {
    private final int maxRecords;
    private final long maxBytes;

    /** Creates a policy that puts at most {@code maxRecords} and about {@code maxBytes} into one answer. */
    public RepairPolicy(int maxRecords, long maxBytes) {
        this.maxRecords = (int) Checks.positive("maxRecords", maxRecords);
        this.maxBytes = Checks.positive("maxBytes", maxBytes);
    }

    /** Returns what a peer gets that has every record below {@code fromOffset} and takes {@code wantedRecords}. */
    public RepairAnswer answer(long fromOffset, int wantedRecords, HistoryState state, RecordBuffer buffer) {
        if (fromOffset >= state.completeTo()) {
            return new RepairAnswer.Records(List.of());
        }
        if (!buffer.holds(fromOffset, state.completeTo())) {
            return new RepairAnswer.State(state);
        }
        return new RepairAnswer.Records(buffer.read(fromOffset, Math.min(wantedRecords, maxRecords), maxBytes));
    }
}
