package org.jasminehub.core.operation;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jspecify.annotations.Nullable;

/**
 * The final answer to a request for an operation.
 *
 * @param outcome whether the operation ran, as far as that is known
 * @param code the reason why there is no result, or null if there is one
 * @param result the response of the service, or null if there is none
 */
public record OperationAnswer(
        Outcome outcome, @Nullable ErrorCode code, @Nullable OperationResult result) {
    /** Returns the answer for an operation that ran. */
    public static OperationAnswer done(OperationResult result) {
        return new OperationAnswer(Outcome.DONE, null, result);
    }

    /** Returns the answer for an operation that has not run and never will. */
    public static OperationAnswer notRun(ErrorCode code) {
        return new OperationAnswer(Outcome.NOT_RUN, code, null);
    }

    /** Returns the answer for an operation of which it is not known whether it ran. */
    public static OperationAnswer unknown(ErrorCode code) {
        return new OperationAnswer(Outcome.UNKNOWN, code, null);
    }
}
