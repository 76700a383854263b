package org.jasminehub.core.operation;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jspecify.annotations.Nullable;

/**
 * A final answer about an operation.
 *
 * @param outcome what is known of its effect
 * @param code why there is no result, or null where there is one
 * @param result the service's answer, or null
 */
public record OperationAnswer(
        Outcome outcome, @Nullable ErrorCode code, @Nullable OperationResult result) {
    /** Returns the answer of an operation that ran. */
    public static OperationAnswer done(OperationResult result) {
        return new OperationAnswer(Outcome.DONE, null, result);
    }

    /** Returns the answer of an operation that has not run and never will. */
    public static OperationAnswer notRun(ErrorCode code) {
        return new OperationAnswer(Outcome.NOT_RUN, code, null);
    }

    /** Returns the answer where nothing proves whether the operation ran. */
    public static OperationAnswer unknown(ErrorCode code) {
        return new OperationAnswer(Outcome.UNKNOWN, code, null);
    }
}
