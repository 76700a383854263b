package org.jasminehub.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.lease.LeaseState.Knowledge;
import org.jspecify.annotations.Nullable;

/** Decides when this instance claims, renews and releases the lease of one shard, and whether it holds it. */
final class LeaseCandidate {
    private final ShardId shard;
    private final InstanceId self;
    private final long incarnation;
    private final LeaseTerms terms;
    private final LongSupplier nonces;
    /** When each append that has shown no effect yet was started, by its nonce. */
    private final Map<Long, Long> startMillisByNonce = new HashMap<>();

    private long observedMillis;
    private long lastAcceptedStartMillis;
    private long validUntilMillis = Long.MIN_VALUE;
    private boolean isReleased;

    LeaseCandidate(
            ShardId shard, InstanceId self, long incarnation, LeaseTerms terms, LongSupplier nonces, long startMillis) {
        this.shard = shard;
        this.self = self;
        this.incarnation = incarnation;
        this.terms = terms;
        this.nonces = nonces;
        this.observedMillis = startMillis;
    }

    void recordRead(LeaseRecord leaseRecord, LeaseEffect effect, long nowMillis) {
        if (effect != LeaseEffect.REJECTED) {
            observedMillis = nowMillis;
        }
        if (!leaseRecord.isFrom(self, incarnation)) {
            return;
        }
        @Nullable Long startMillis = startMillisByNonce.remove(leaseRecord.nonce());
        if (startMillis != null && effect == LeaseEffect.ACCEPTED && leaseRecord.action() != LeaseAction.RELEASE) {
            lastAcceptedStartMillis = Math.max(lastAcceptedStartMillis, startMillis);
            validUntilMillis = Math.max(validUntilMillis, startMillis + terms.durationMillis());
        }
    }

    boolean holds(LeaseState state, long nowMillis) {
        return !isReleased && state.isHeldBy(self, incarnation) && nowMillis < validUntilMillis;
    }

    /** Returns the record to append now, if any; its time counts from this call. */
    Optional<LeaseRecord> nextAppend(LeaseState state, long readToOffset, int rank, long nowMillis) {
        forgetAppendsWithoutUse(nowMillis);
        boolean isUnderway = !startMillisByNonce.isEmpty() && nowMillis < newestStartMillis() + terms.resendMillis();
        if (isReleased || isUnderway) {
            return Optional.empty();
        }
        if (state.isHeldBy(self, incarnation)) {
            boolean isDue = nowMillis >= lastAcceptedStartMillis + terms.renewIntervalMillis();
            return isDue
                    ? Optional.of(append(LeaseAction.RENEW, state.fencingNumber(), readToOffset, nowMillis))
                    : Optional.empty();
        }
        boolean isDue = nowMillis >= claimableFromMillis(state) + rank * terms.rankDelayMillis();
        return isDue ? Optional.of(append(LeaseAction.CLAIM, 0, readToOffset, nowMillis)) : Optional.empty();
    }

    /** Stops holding and claiming at once; returns the record that tells the others, if they need it. */
    Optional<LeaseRecord> release(LeaseState state, long readToOffset, long nowMillis) {
        boolean isHolder = !isReleased && state.isHeldBy(self, incarnation);
        isReleased = true;
        return isHolder
                ? Optional.of(append(LeaseAction.RELEASE, state.fencingNumber(), readToOffset, nowMillis))
                : Optional.empty();
    }

    private long claimableFromMillis(LeaseState state) {
        if (state.knowledge() == Knowledge.RELEASED) {
            return observedMillis;
        }
        return observedMillis + terms.durationMillis() + terms.guardMillis();
    }

    private LeaseRecord append(LeaseAction action, long number, long readToOffset, long nowMillis) {
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

    private void forgetAppendsWithoutUse(long nowMillis) {
        startMillisByNonce.values().removeIf(startMillis -> startMillis + terms.durationMillis() <= nowMillis);
    }
}
