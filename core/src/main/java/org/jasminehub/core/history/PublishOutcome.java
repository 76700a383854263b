package org.jasminehub.core.history;

/** The outcome of a publish, as far as it is known. */
public sealed interface PublishOutcome {
    /** The publish was accepted; a later publish may have replaced it. */
    record Accepted(long version) implements PublishOutcome {}

    /** The publish will never be accepted: its base is not {@code versionInForce}, published by {@code winner}. */
    record Conflicted(long versionInForce, String winner) implements PublishOutcome {}

    /** The publish will never be accepted, because its document does not match the schema. */
    record Rejected(String cause) implements PublishOutcome {}

    /** The record was not found below {@code nextOffset}; the publish may still be accepted. */
    record NotYetKnown(long nextOffset) implements PublishOutcome {}

    /** The log dropped records that may have included the publish, so its outcome cannot be determined any more. */
    record Untraceable(long versionInForce) implements PublishOutcome {}
}
