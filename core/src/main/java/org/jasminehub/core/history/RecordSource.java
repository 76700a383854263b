package org.jasminehub.core.history;

import org.jasminehub.core.membership.Member;

/** The source from which an instance reads new records. */
public sealed interface RecordSource {
    /** The log of the platform. */
    record Log() implements RecordSource {}

    /** Another entry instance. */
    record Peer(Member member) implements RecordSource {}
}
