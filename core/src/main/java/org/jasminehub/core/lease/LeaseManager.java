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
 * Takes part in the leases of all shards on behalf of one instance.
 *
 * <p>The caller feeds every record that it reads from the log, appends what {@link #poll} returns, and acts for a shard
 * only while {@link #heldNumber} gives a number. The answers to the appends are not needed: an append counts when its
 * record is read again, so one whose answer was lost counts too.
 *
 * <pre>{@code
 * manager.recordRead(offset, leaseRecord, clock.monotonicMillis());
 * manager.poll(shard -> rankOf(shard), clock.monotonicMillis()).forEach(this::append);
 * OptionalLong number = manager.heldNumber(shard, clock.monotonicMillis());
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class LeaseManager {
    private final InstanceId self;
    private final long incarnation;
    private final LeaseTable table;
    private final EventSink events;
    private final Map<ShardId, LeaseCandidate> candidates = new TreeMap<>();
    private final Map<ShardId, Long> announcedNumbers = new HashMap<>();

    /**
     * Creates a manager that has read nothing yet.
     *
     * @param self this instance
     * @param incarnation its incarnation
     * @param shards all shards
     * @param terms the times
     * @param nonces gives numbers that this instance has not used before, in any incarnation
     * @param firstOffset the offset from which records will be read
     * @param events takes the decisions
     * @param nowMillis the monotonic time
     */
    public LeaseManager(
            InstanceId self,
            long incarnation,
            List<ShardId> shards,
            LeaseTerms terms,
            LongSupplier nonces,
            long firstOffset,
            EventSink events,
            long nowMillis) {
        this.self = self;
        this.incarnation = Checks.notNegative("incarnation", incarnation);
        this.table = new LeaseTable(firstOffset);
        this.events = events;
        for (ShardId shard : shards) {
            candidates.put(shard, new LeaseCandidate(shard, self, incarnation, terms, nonces, nowMillis));
        }
    }

    /** Takes the record that was read at {@code offset}. */
    public LeaseEffect recordRead(long offset, LeaseRecord leaseRecord, long nowMillis) {
        if (offset < table.nextOffset()) {
            return LeaseEffect.REJECTED;
        }
        LeaseEffect effect = table.apply(offset, leaseRecord);
        @Nullable LeaseCandidate candidate = candidates.get(leaseRecord.shard());
        if (candidate != null) {
            candidate.recordRead(leaseRecord, effect, nowMillis);
            announceChange(leaseRecord.shard(), nowMillis);
        }
        return effect;
    }

    /** Notes that all records before {@code offset} were read. */
    public void advanceTo(long offset) {
        table.advanceTo(offset);
    }

    /**
     * Returns the records to append now, each counting from this call.
     *
     * @param rank this instance's place among the live candidates of a shard, 0 for the first
     * @param nowMillis the monotonic time
     */
    public List<LeaseRecord> poll(ToIntFunction<ShardId> rank, long nowMillis) {
        List<LeaseRecord> appends = new ArrayList<>();
        candidates.forEach((shard, candidate) -> {
            announceChange(shard, nowMillis);
            candidate
                    .nextAppend(table.state(shard), table.nextOffset(), rank.applyAsInt(shard), nowMillis)
                    .ifPresent(appends::add);
        });
        return appends;
    }

    /** Gives up all leases for good; returns the records that tell the others. */
    public List<LeaseRecord> releaseAll(long nowMillis) {
        List<LeaseRecord> appends = new ArrayList<>();
        candidates.forEach((shard, candidate) -> {
            candidate.release(table.state(shard), table.nextOffset(), nowMillis).ifPresent(appends::add);
            announceChange(shard, nowMillis);
        });
        return appends;
    }

    /** Returns the fencing number under which this instance may act for {@code shard} now, if it holds the lease. */
    public Optional<Long> heldNumber(ShardId shard, long nowMillis) {
        @Nullable LeaseCandidate candidate = candidates.get(shard);
        LeaseState state = table.state(shard);
        boolean isHeld = candidate != null && candidate.holds(state, nowMillis);
        return isHeld ? Optional.of(state.fencingNumber()) : Optional.empty();
    }

    /** Returns what is known of {@code shard}. */
    public LeaseState state(ShardId shard) {
        return table.state(shard);
    }

    private void announceChange(ShardId shard, long nowMillis) {
        @Nullable Long announced = announcedNumbers.get(shard);
        @Nullable Long held = heldNumber(shard, nowMillis).orElse(null);
        if (announced != null && !announced.equals(held)) {
            announcedNumbers.remove(shard);
            events.emit(new LeaseLost(
                    shard.value(), announced, String.valueOf(table.state(shard).holder())));
        }
        if (held != null && !held.equals(announced)) {
            announcedNumbers.put(shard, held);
            events.emit(new LeaseGained(shard.value(), held, self.value(), incarnation));
        }
    }
}
