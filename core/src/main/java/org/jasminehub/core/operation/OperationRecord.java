package org.jasminehub.core.operation;

import org.jasminehub.core.error.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * What an agent remembers of one operation.
 *
 * @param id the operation
 * @param bodyDigest the digest of the request it came with; empty where it was revoked before a request came
 * @param state how far it got
 * @param result the service's answer, or null where there is none or it was too large to keep
 * @param sinceMillis when it entered the ledger, by the agent's monotonic clock
 */
public record OperationRecord(
        OperationId id,
        String bodyDigest,
        OperationState state,
        @Nullable OperationResult result,
        long sinceMillis) {
    OperationRecord with(OperationState newState, @Nullable OperationResult newResult) {
        return new OperationRecord(id, bodyDigest, newState, newResult, sinceMillis);
    }

    /** Returns the record with its age in place of its time, for another agent. */
    OperationRecord movedBy(long nowMillis) {
        return new OperationRecord(id, bodyDigest, state, result, nowMillis - sinceMillis);
    }

    /** Returns a record that came with its age; what still ran elsewhere is in doubt here. */
    OperationRecord receivedAt(long nowMillis) {
        OperationState kept = state == OperationState.RUNNING ? OperationState.IN_DOUBT : state;
        return new OperationRecord(id, bodyDigest, kept, result, nowMillis - sinceMillis);
    }

    boolean matchesBody(String digest) {
        return bodyDigest.isEmpty() || bodyDigest.equals(digest);
    }

    OperationAnswer answer() {
        return switch (state) {
            case DONE ->
                result == null ? OperationAnswer.unknown(ErrorCode.RESULT_NOT_KEPT) : OperationAnswer.done(result);
            case REVOKED -> OperationAnswer.notRun(ErrorCode.OPERATION_REVOKED);
            case RUNNING, IN_DOUBT -> OperationAnswer.unknown(ErrorCode.OUTCOME_UNKNOWN);
        };
    }
}
