package org.jasminehub.core.history;

import java.util.List;

/** The reply to a peer that requested records. */
public sealed interface RepairReply {
    /** The records that the peer is missing; empty if the peer is up to date. */
    record Records(List<OffsetRecord> records) implements RepairReply {
        /** Copies the records. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /** The complete state, sent when some of the missing records are no longer held. */
    record State(HistoryState state) implements RepairReply {}
}
