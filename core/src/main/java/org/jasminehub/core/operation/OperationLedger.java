package org.jasminehub.core.operation;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The operation records of an agent, oldest first and limited in number and size.
 *
 * <p>A complete record is kept for the retention time; after that only the operation's id is kept, until {@link
 * LedgerLimits#maxExpired()} newer ids have expired. Not thread-safe.
 */
final class OperationLedger {
    private final LedgerLimits limits;
    private final long retentionMillis;
    private final Map<OperationId, OperationRecord> records = new LinkedHashMap<>();
    private final Set<OperationId> expired = new LinkedHashSet<>();

    private long keptBytes;

    OperationLedger(LedgerLimits limits, long retentionMillis) {
        this.limits = limits;
        this.retentionMillis = retentionMillis;
    }

    Optional<OperationRecord> find(OperationId id, long nowMillis) {
        expire(nowMillis);
        return Optional.ofNullable(records.get(id));
    }

    boolean isExpired(OperationId id) {
        return expired.contains(id);
    }

    boolean hasRoomToRun() {
        return records.size() < limits.maxOperations();
    }

    boolean hasRoomToRevoke() {
        return records.size() < limits.maxOperations() + limits.maxRevocations();
    }

    void add(OperationRecord operation) {
        records.put(operation.id(), operation);
    }

    /** Adds a record received from another agent. It replaces an existing record only if its state is {@code DONE}. */
    void merge(OperationRecord operation) {
        records.merge(
                operation.id(),
                operation,
                (existing, received) -> received.state() == OperationState.DONE ? received : existing);
    }

    void finish(OperationId id, OperationResult result) {
        int sizeBytes = result.body().length;
        boolean isKept = sizeBytes <= limits.maxResultBytes() && keptBytes + sizeBytes <= limits.maxKeptBytes();
        OperationRecord operation = records.get(id);
        if (operation != null && operation.state() != OperationState.DONE) {
            records.put(id, operation.with(OperationState.DONE, isKept ? result : null));
            keptBytes += isKept ? sizeBytes : 0;
        }
    }

    void markInDoubt(OperationId id) {
        records.computeIfPresent(id, (key, operation) -> operation.with(OperationState.IN_DOUBT, null));
    }

    void markRevoked(OperationId id) {
        records.computeIfPresent(id, (key, operation) -> operation.with(OperationState.REVOKED, null));
    }

    List<OperationRecord> matching(Predicate<OperationId> filter, long nowMillis) {
        expire(nowMillis);
        List<OperationRecord> matches = new ArrayList<>();
        for (OperationRecord operation : records.values()) {
            if (filter.test(operation.id())) {
                matches.add(operation);
            }
        }
        return matches;
    }

    int size() {
        return records.size();
    }

    private void expire(long nowMillis) {
        Iterator<OperationRecord> oldestFirst = records.values().iterator();
        while (oldestFirst.hasNext()) {
            OperationRecord oldest = oldestFirst.next();
            if (nowMillis - oldest.sinceMillis() <= retentionMillis) {
                return;
            }
            oldestFirst.remove();
            keptBytes -= sizeBytes(oldest);
            addExpired(oldest.id());
        }
    }

    private static int sizeBytes(OperationRecord operation) {
        return operation.result() == null ? 0 : operation.result().body().length;
    }

    private void addExpired(OperationId id) {
        expired.add(id);
        if (expired.size() > limits.maxExpired()) {
            Iterator<OperationId> oldest = expired.iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
