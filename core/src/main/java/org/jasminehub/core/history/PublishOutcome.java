package org.jasminehub.core.history;

/** What is known of a publish. */
public sealed interface PublishOutcome {
    /** It was accepted; a later publish may have replaced it since. */
    record Accepted(long version) implements PublishOutcome {}

    /** It was not accepted and never will be, since {@code winner} published {@code versionInForce}. */
    record Conflicted(long versionInForce, String winner) implements PublishOutcome {}

    /** Its document does not pass the schema; it was not accepted and never will be. */
    record Rejected(String cause) implements PublishOutcome {}

    /** Its record has not been read yet, up to {@code nextOffset}; it may still take effect. */
    record NotYetKnown(long nextOffset) implements PublishOutcome {}

    /** The log dropped records in which it may have stood; its effect can no longer be told. */
    record Untraceable(long versionInForce) implements PublishOutcome {}
}
