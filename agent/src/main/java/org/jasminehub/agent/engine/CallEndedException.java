package org.jasminehub.agent.engine;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/** The entry instance does not want the answer any more. */
final class CallEndedException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    CallEndedException() {
        super(ErrorCode.ANSWER_CUT, "the call ended before its answer", null);
    }
}
