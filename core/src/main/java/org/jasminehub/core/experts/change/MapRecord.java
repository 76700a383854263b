package org.jasminehub.core.experts.change;

import java.util.List;

/**
 * A record on the platform's log about the map of a group.
 *
 * <p>A record takes effect only if its fencing number is that of the shard's newest lease at the record's offset.
 *
 * @param kind the reason for the record
 * @param fencingNumber the fencing number of the writer's lease
 * @param mapVersion the map version that the group runs on after this record
 * @param incarnations the incarnation of each rank for which the record is valid
 */
public record MapRecord(Kind kind, long fencingNumber, long mapVersion, List<Long> incarnations) {
    /** The reason for a record. */
    public enum Kind {
        /** Every rank is armed; the change is committed. */
        COMMIT,
        /** The change was aborted. */
        ABORT,
        /** A restarted rank is admitted. */
        ROSTER
    }

    /** Creates a record with a copy of {@code incarnations}. */
    public MapRecord {
        incarnations = List.copyOf(incarnations);
    }
}
