package org.jasminehub.core.serving;

/** What a repeat of a call would do. */
public enum CallKind {
    /** A repeat is harmless. */
    SAFE,
    /** A repeat would have an effect of its own, so the call runs at most once. */
    UNSAFE,
    /** The answer is a stream of numbered events. */
    STREAMING
}
