package org.jasminehub.core.operation;

import org.jasminehub.core.error.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * An agent's record of one operation.
 *
 * @param id the operation
 * @param bodyDigest the digest of the request, or empty if the operation was revoked before it was started
 * @param state the state of the operation
 * @param result the response of the service, or null if there is none or it was not kept
 * @param sinceMillis when the record was created, by the agent's monotonic clock; in a {@link Handover}, its age
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

    /** Returns a copy for another agent, with the age of the record in place of its time of creation. */
    OperationRecord sentAt(long nowMillis) {
        return new OperationRecord(id, bodyDigest, state, result, nowMillis - sinceMillis);
    }

    /**
     * Converts a record received from another agent to this agent's clock. An operation that was still running there is
     * in doubt here.
     */
    OperationRecord receivedAt(long nowMillis) {
        OperationState localState = state == OperationState.RUNNING ? OperationState.IN_DOUBT : state;
        return new OperationRecord(id, bodyDigest, localState, result, nowMillis - sinceMillis);
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
