package org.jasminehub.core.answer;

/** Why a frame is not part of the response. */
public enum DropReason {
    /** The frame belongs to another request. */
    OTHER_REQUEST,
    /** The frame belongs to an attempt that was replaced or has ended. */
    OLD_ATTEMPT,
    /** The chunk has already arrived. */
    REPEATED,
    /** The response has ended, complete or not. */
    AFTER_END
}
