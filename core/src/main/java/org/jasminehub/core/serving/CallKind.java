package org.jasminehub.core.serving;

/** The effect of running a call more than once. */
public enum CallKind {
    /** The call may safely run more than once. */
    SAFE,
    /** A second run would have a second effect, so the call must run at most once. */
    UNSAFE,
    /** The response is a stream of numbered events. */
    STREAMING
}
