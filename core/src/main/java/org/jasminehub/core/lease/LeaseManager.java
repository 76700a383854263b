package org.jasminehub.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * Manages the leases of all shards on behalf of one instance.
 *
 * <p>The caller passes in every lease record that it reads from the log, appends the records returned by {@link #poll},
 * and acts for a shard only while {@link #heldFencingNumber} returns a number. The responses to the appends are not
 * needed: an append takes effect when its record is read back, so it also counts when its response was lost.
 *
 * <pre>{@code
 * manager.onRecordRead(offset, leaseRecord, clock.monotonicMillis());
 * manager.poll(shard -> rankOf(shard), clock.monotonicMillis()).forEach(this::append);
 * Optional<Long> fencingNumber = manager.heldFencingNumber(shard, clock.monotonicMillis());
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class LeaseManager {
    private final InstanceId self;
    private final long incarnation;
    private final LeaseTable table;
    private final EventSink events;
    private final Map<ShardId, LeaseCandidate> candidates = new TreeMap<>();
    private final Map<ShardId, Long> reportedNumbers = new HashMap<>();

    /**
     * Creates a manager that has not read any record yet.
     *
     * @param self this instance
     * @param incarnation the incarnation of this instance
     * @param shards all shards that have a lease
     * @param timings the timings of leases
     * @param nonces supplies numbers that this instance has not used before in any incarnation
     * @param firstOffset the offset from which records will be read
     * @param events receives an event whenever a lease is gained or lost
     * @param nowMillis the current monotonic time
     */
    public LeaseManager(
            InstanceId self,
            long incarnation,
            List<ShardId> shards,
            LeaseTimings timings,
            LongSupplier nonces,
            long firstOffset,
            EventSink events,
            long nowMillis) {
        this.self = self;
        this.incarnation = Checks.notNegative("incarnation", incarnation);
        this.table = new LeaseTable(firstOffset);
        this.events = events;
        for (ShardId shard : shards) {
            candidates.put(shard, new LeaseCandidate(shard, self, incarnation, timings, nonces, nowMillis));
        }
    }

    /** Applies the record that was read at {@code offset}; records already applied are ignored. */
    public LeaseEffect onRecordRead(long offset, LeaseRecord leaseRecord, long nowMillis) {
        if (offset < table.nextOffset()) {
            return LeaseEffect.REJECTED;
        }
        LeaseEffect effect = table.apply(offset, leaseRecord);
        @Nullable LeaseCandidate candidate = candidates.get(leaseRecord.shard());
        if (candidate != null) {
            candidate.onRecordRead(leaseRecord, effect, nowMillis);
            emitHoldingChange(leaseRecord.shard(), nowMillis);
        }
        return effect;
    }

    /** Records that all log records before {@code offset} have been read. */
    public void advanceTo(long offset) {
        table.advanceTo(offset);
    }

    /**
     * Returns the records to append now; the lease time that each requests starts with this call.
     *
     * @param rank the rank of this instance among the live candidates of a shard, starting at 0
     * @param nowMillis the current monotonic time
     */
    public List<LeaseRecord> poll(ToIntFunction<ShardId> rank, long nowMillis) {
        List<LeaseRecord> appends = new ArrayList<>();
        candidates.forEach((shard, candidate) -> {
            emitHoldingChange(shard, nowMillis);
            candidate
                    .nextAppend(table.state(shard), table.nextOffset(), rank.applyAsInt(shard), nowMillis)
                    .ifPresent(appends::add);
        });
        return appends;
    }

    /** Releases all leases permanently and returns the records that announce this to the other instances. */
    public List<LeaseRecord> releaseAll(long nowMillis) {
        List<LeaseRecord> appends = new ArrayList<>();
        candidates.forEach((shard, candidate) -> {
            candidate.release(table.state(shard), table.nextOffset(), nowMillis).ifPresent(appends::add);
            emitHoldingChange(shard, nowMillis);
        });
        return appends;
    }

    /**
     * Returns the fencing number under which this instance may act for {@code shard}, or empty if it holds no lease.
     */
    public Optional<Long> heldFencingNumber(ShardId shard, long nowMillis) {
        @Nullable LeaseCandidate candidate = candidates.get(shard);
        LeaseState state = table.state(shard);
        boolean isHeld = candidate != null && candidate.holds(state, nowMillis);
        return isHeld ? Optional.of(state.fencingNumber()) : Optional.empty();
    }

    /** Returns the state of the lease of {@code shard} according to the records read so far. */
    public LeaseState state(ShardId shard) {
        return table.state(shard);
    }

    private void emitHoldingChange(ShardId shard, long nowMillis) {
        @Nullable Long reported = reportedNumbers.get(shard);
        @Nullable Long held = heldFencingNumber(shard, nowMillis).orElse(null);
        if (reported != null && !reported.equals(held)) {
            reportedNumbers.remove(shard);
            events.emit(new LeaseLost(
                    shard.value(), reported, String.valueOf(table.state(shard).holder())));
        }
        if (held != null && !held.equals(reported)) {
            reportedNumbers.put(shard, held);
            events.emit(new LeaseGained(shard.value(), held, self.value(), incarnation));
        }
    }
}
