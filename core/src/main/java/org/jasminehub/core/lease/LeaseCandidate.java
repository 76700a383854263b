package org.jasminehub.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.lease.LeaseState.Status;
import org.jspecify.annotations.Nullable;

/**
 * The participation of this instance in the lease of one shard.
 *
 * <p>Decides when to claim, renew and release the lease, and whether this instance holds it at a given time.
 */
final class LeaseCandidate {
    private final ShardId shard;
    private final InstanceId self;
    private final long incarnation;
    private final LeaseTimings timings;
    private final LongSupplier nonces;
    /** Start times of the appends whose records have not been read back yet, by nonce. */
    private final Map<Long, Long> startMillisByNonce = new HashMap<>();

    /** When the last record of the shard was read that was not rejected. */
    private long lastEffectMillis;
    /** When the append of this instance's last accepted claim or renewal was started. */
    private long leaseStartMillis;

    private long validUntilMillis = Long.MIN_VALUE;
    private boolean isReleased;

    LeaseCandidate(
            ShardId shard,
            InstanceId self,
            long incarnation,
            LeaseTimings timings,
            LongSupplier nonces,
            long startMillis) {
        this.shard = shard;
        this.self = self;
        this.incarnation = incarnation;
        this.timings = timings;
        this.nonces = nonces;
        this.lastEffectMillis = startMillis;
    }

    void onRecordRead(LeaseRecord leaseRecord, LeaseEffect effect, long nowMillis) {
        if (effect != LeaseEffect.REJECTED) {
            lastEffectMillis = nowMillis;
        }
        if (!leaseRecord.isWrittenBy(self, incarnation)) {
            return;
        }
        @Nullable Long startMillis = startMillisByNonce.remove(leaseRecord.nonce());
        if (startMillis != null && effect == LeaseEffect.ACCEPTED && leaseRecord.action() != LeaseAction.RELEASE) {
            leaseStartMillis = Math.max(leaseStartMillis, startMillis);
            validUntilMillis = Math.max(validUntilMillis, startMillis + timings.durationMillis());
        }
    }

    boolean holds(LeaseState state, long nowMillis) {
        return !isReleased && state.isHeldBy(self, incarnation) && nowMillis < validUntilMillis;
    }

    /** Returns the record to append now, if any; the lease time that it requests starts with this call. */
    Optional<LeaseRecord> nextAppend(LeaseState state, long readToOffset, int rank, long nowMillis) {
        dropExpiredAppends(nowMillis);
        boolean isAppendPending =
                !startMillisByNonce.isEmpty() && nowMillis < newestStartMillis() + timings.resendMillis();
        if (isReleased || isAppendPending) {
            return Optional.empty();
        }
        if (state.isHeldBy(self, incarnation)) {
            boolean isDue = nowMillis >= leaseStartMillis + timings.renewIntervalMillis();
            return isDue
                    ? Optional.of(newAppend(LeaseAction.RENEW, state.fencingNumber(), readToOffset, nowMillis))
                    : Optional.empty();
        }
        boolean isDue = nowMillis >= claimableFromMillis(state) + rank * timings.rankDelayMillis();
        return isDue ? Optional.of(newAppend(LeaseAction.CLAIM, 0, readToOffset, nowMillis)) : Optional.empty();
    }

    /**
     * Stops holding and claiming the lease permanently.
     *
     * @return the record that announces the release, or empty if this instance was not the holder
     */
    Optional<LeaseRecord> release(LeaseState state, long readToOffset, long nowMillis) {
        boolean isHolder = !isReleased && state.isHeldBy(self, incarnation);
        isReleased = true;
        return isHolder
                ? Optional.of(newAppend(LeaseAction.RELEASE, state.fencingNumber(), readToOffset, nowMillis))
                : Optional.empty();
    }

    private long claimableFromMillis(LeaseState state) {
        if (state.status() == Status.RELEASED) {
            return lastEffectMillis;
        }
        return lastEffectMillis + timings.durationMillis() + timings.guardMillis();
    }

    private LeaseRecord newAppend(LeaseAction action, long number, long readToOffset, long nowMillis) {
        long nonce = nonces.getAsLong();
        startMillisByNonce.put(nonce, nowMillis);
        return new LeaseRecord(action, shard, self, incarnation, number, readToOffset, nonce);
    }

    private long newestStartMillis() {
        return startMillisByNonce.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    private void dropExpiredAppends(long nowMillis) {
        startMillisByNonce.values().removeIf(startMillis -> startMillis + timings.durationMillis() <= nowMillis);
    }
}
