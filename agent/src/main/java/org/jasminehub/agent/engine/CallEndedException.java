package org.jasminehub.agent.engine;

import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.JasminehubException;

/** Cancels the stream of a response because its call has ended, for example by a cancellation. */
final class CallEndedException extends JasminehubException {
    private static final long serialVersionUID = 1L;

    CallEndedException() {
        super(ErrorCode.ANSWER_CUT, "the call ended before its response was complete", null);
    }
}
