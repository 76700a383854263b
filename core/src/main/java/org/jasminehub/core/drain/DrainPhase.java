package org.jasminehub.core.drain;

/** The phases of a drain (the planned stop of an instance), in order. */
public enum DrainPhase {
    /** The instance has announced the drain and still accepts requests from senders that may not know about it. */
    ANNOUNCED,
    /** The instance accepts no new requests and completes the open ones. */
    FINISHING,
    /** The process may exit. */
    STOPPED
}
