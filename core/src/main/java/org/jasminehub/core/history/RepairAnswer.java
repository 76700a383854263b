package org.jasminehub.core.history;

import java.util.List;

/** What an instance gives a peer that asked for records. */
public sealed interface RepairAnswer {
    /** The records that follow the peer's; none if it has them all. */
    record Records(List<OffsetRecord> records) implements RepairAnswer {
        /** Creates the answer. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /** The whole state, since records that the peer lacks are no longer held. */
    record State(HistoryState state) implements RepairAnswer {}
}
