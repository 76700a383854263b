package org.jasminehub.core.history;

import org.jasminehub.core.membership.Member;

/** Where an instance reads new records. */
public sealed interface RecordSource {
    /** It reads the platform's log. */
    record Log() implements RecordSource {}

    /** It asks another instance. */
    record Peer(Member member) implements RecordSource {}
}
