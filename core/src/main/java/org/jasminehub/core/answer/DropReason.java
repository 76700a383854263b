package org.jasminehub.core.answer;

/** Why a frame does not belong to the answer. */
public enum DropReason {
    /** It answers another request. */
    OTHER_REQUEST,
    /** It comes from an attempt that was given up. */
    OLD_ATTEMPT,
    /** It came before. */
    REPEATED,
    /** The answer has ended, whole or not. */
    AFTER_END
}
