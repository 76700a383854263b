package org.jasminehub.core.experts.change;

import java.util.List;

/**
 * What the platform's log says of a group's map.
 *
 * <p>A record takes effect only if its fencing number is that of the shard's newest lease at the record's offset.
 *
 * @param kind why it was written
 * @param fencingNumber the number of the writer's lease
 * @param mapVersion the version that the group runs on from here on
 * @param incarnations the incarnation of each rank on which the record relies
 */
public record MapRecord(Kind kind, long fencingNumber, long mapVersion, List<Long> incarnations) {
    /** Why a record was written. */
    public enum Kind {
        /** All ranks named were armed, and the change takes place. */
        COMMIT,
        /** The change was given up. */
        ABORT,
        /** A rank that had restarted is let in. */
        ROSTER
    }

    /** Creates a record with a copy of {@code incarnations}. */
    public MapRecord {
        incarnations = List.copyOf(incarnations);
    }
}
