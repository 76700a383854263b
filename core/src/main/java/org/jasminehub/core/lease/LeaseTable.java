package org.jasminehub.core.lease;

import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.lease.LeaseState.Status;

/**
 * The leases of all shards, derived by replaying the lease records of the log.
 *
 * <p>A record takes effect if and only if no other record of its shard, accepted or rejected, lies between the offset
 * up to which its writer had read the log and the record itself. This guarantees that the writer knew the current state
 * when it wrote the record, and that all readers that can determine the effect agree on it, wherever in the log they
 * started. The offset of an accepted claim is the fencing number of the lease.
 *
 * <pre>{@code
 * LeaseTable table = new LeaseTable(page.firstOffset());
 * LeaseEffect effect = table.apply(offset, record);
 * long number = table.state(shard).fencingNumber();
 * }</pre>
 *
 * <p>Records must be applied in the order of their offsets. Not thread-safe.
 */
public final class LeaseTable {
    private final Map<ShardId, LeaseState> states = new HashMap<>();
    private final long firstOffset;
    private long nextOffset;

    /** Creates a table for a reader that starts reading the log at {@code firstOffset}. */
    public LeaseTable(long firstOffset) {
        this.firstOffset = Checks.notNegative("firstOffset", firstOffset);
        this.nextOffset = firstOffset;
    }

    /** Applies the record at {@code offset}; a record that was already applied is ignored and reported as rejected. */
    public LeaseEffect apply(long offset, LeaseRecord leaseRecord) {
        if (offset < nextOffset) {
            return LeaseEffect.REJECTED;
        }
        nextOffset = offset + 1;
        LeaseState previous = state(leaseRecord.shard());
        LeaseEffect effect = effectOf(previous, offset, leaseRecord);
        states.put(leaseRecord.shard(), nextState(previous, offset, leaseRecord, effect));
        return effect;
    }

    /**
     * Records that all log records before {@code offset} have been read, including those that are not lease records.
     */
    public void advanceTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /** Returns the lowest offset of a record that can still be applied. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns the offset from which this reader started reading. */
    public long firstOffset() {
        return firstOffset;
    }

    /** Returns the state of the lease of {@code shard} according to the records applied so far. */
    public LeaseState state(ShardId shard) {
        return states.getOrDefault(shard, LeaseState.UNSEEN);
    }

    /**
     * Returns the lowest fencing number that an order for {@code shard} may carry, or -1 if it cannot be determined.
     *
     * <p>For a shard without a record this is the first offset: a lease claimed before it can no longer be live,
     * because a live lease is renewed well within the retention time of the log.
     */
    public long lowestValidNumber(ShardId shard) {
        LeaseState state = state(shard);
        return switch (state.status()) {
            case UNSEEN -> firstOffset;
            case UNDETERMINED -> -1;
            case RELEASED -> state.fencingNumber() + 1;
            case HELD -> state.fencingNumber();
        };
    }

    private LeaseEffect effectOf(LeaseState previous, long offset, LeaseRecord leaseRecord) {
        if (leaseRecord.readToOffset() > offset) {
            return LeaseEffect.REJECTED;
        }
        if (previous.lastRecordOffset() >= leaseRecord.readToOffset()) {
            return LeaseEffect.REJECTED;
        }
        boolean needsTruncatedRecords = leaseRecord.readToOffset() < firstOffset;
        return needsTruncatedRecords ? LeaseEffect.UNDETERMINED : LeaseEffect.ACCEPTED;
    }

    private static LeaseState nextState(LeaseState previous, long offset, LeaseRecord leaseRecord, LeaseEffect effect) {
        return switch (effect) {
            case REJECTED -> previous.withLastRecordOffset(offset);
            case UNDETERMINED -> new LeaseState(Status.UNDETERMINED, 0, null, 0, offset);
            case ACCEPTED -> acceptedState(offset, leaseRecord);
        };
    }

    private static LeaseState acceptedState(long offset, LeaseRecord leaseRecord) {
        long number = leaseRecord.action() == LeaseAction.CLAIM ? offset : leaseRecord.fencingNumber();
        Status status = leaseRecord.action() == LeaseAction.RELEASE ? Status.RELEASED : Status.HELD;
        return new LeaseState(status, number, leaseRecord.holder(), leaseRecord.incarnation(), offset);
    }
}
