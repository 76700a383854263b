package org.jasminehub.core.lease;

import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.lease.LeaseState.Knowledge;

/**
 * Replays the lease records of the log.
 *
 * <p>A record takes effect if and only if its shard has no other record, of any effect, from the offset up to which its
 * writer had read the log to its own. So the writer knew the state on which it decided, and every reader that can tell
 * comes to the same verdict, wherever in the log it started. The offset of an accepted claim is the fencing number.
 *
 * <pre>{@code
 * LeaseTable table = new LeaseTable(page.firstOffset());
 * LeaseEffect effect = table.apply(offset, record);
 * long number = table.state(shard).fencingNumber();
 * }</pre>
 *
 * <p>Records must be applied in the order of their offsets. Not safe for use by several threads.
 */
public final class LeaseTable {
    private final Map<ShardId, LeaseState> states = new HashMap<>();
    private final long firstOffset;
    private long nextOffset;

    /** Creates a table for a reader whose first record is at or after {@code firstOffset}. */
    public LeaseTable(long firstOffset) {
        this.firstOffset = Checks.notNegative("firstOffset", firstOffset);
        this.nextOffset = firstOffset;
    }

    /** Applies the record at {@code offset}; one that was applied before changes nothing and counts as rejected. */
    public LeaseEffect apply(long offset, LeaseRecord leaseRecord) {
        if (offset < nextOffset) {
            return LeaseEffect.REJECTED;
        }
        nextOffset = offset + 1;
        LeaseState before = state(leaseRecord.shard());
        LeaseEffect effect = effect(before, offset, leaseRecord);
        states.put(leaseRecord.shard(), after(before, offset, leaseRecord, effect));
        return effect;
    }

    /** Notes that all records before {@code offset} were read, also those that concern no lease. */
    public void advanceTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /** Returns the offset of the next record to apply. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns the first offset that this reader could read. */
    public long firstOffset() {
        return firstOffset;
    }

    /** Returns what is known of {@code shard}. */
    public LeaseState state(ShardId shard) {
        return states.getOrDefault(shard, LeaseState.UNSEEN);
    }

    /**
     * Returns the lowest number that an order for {@code shard} may carry, or -1 while that is not known.
     *
     * <p>A shard without a record has no live lease older than the first offset, as a live one is renewed well within
     * the log's retention.
     */
    public long lowestValidNumber(ShardId shard) {
        LeaseState state = state(shard);
        return switch (state.knowledge()) {
            case UNSEEN -> firstOffset;
            case UNDETERMINED -> -1;
            case RELEASED -> state.fencingNumber() + 1;
            case HELD -> state.fencingNumber();
        };
    }

    private LeaseEffect effect(LeaseState before, long offset, LeaseRecord leaseRecord) {
        if (leaseRecord.readToOffset() > offset) {
            return LeaseEffect.REJECTED;
        }
        if (before.lastRecordOffset() >= leaseRecord.readToOffset()) {
            return LeaseEffect.REJECTED;
        }
        boolean needsDroppedRecords = leaseRecord.readToOffset() < firstOffset;
        return needsDroppedRecords ? LeaseEffect.UNDETERMINED : LeaseEffect.ACCEPTED;
    }

    private static LeaseState after(LeaseState before, long offset, LeaseRecord leaseRecord, LeaseEffect effect) {
        return switch (effect) {
            case REJECTED -> before.withLastRecordOffset(offset);
            case UNDETERMINED -> new LeaseState(Knowledge.UNDETERMINED, 0, null, 0, offset);
            case ACCEPTED -> accepted(offset, leaseRecord);
        };
    }

    private static LeaseState accepted(long offset, LeaseRecord leaseRecord) {
        long number = leaseRecord.action() == LeaseAction.CLAIM ? offset : leaseRecord.fencingNumber();
        Knowledge knowledge = leaseRecord.action() == LeaseAction.RELEASE ? Knowledge.RELEASED : Knowledge.HELD;
        return new LeaseState(knowledge, number, leaseRecord.holder(), leaseRecord.incarnation(), offset);
    }
}
