package org.jasminehub.core.history;

import java.util.List;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.Member;

/**
 * Decides when an instance writes a snapshot to the log.
 *
 * <p>The first instance in hash order writes when the newest snapshot is a quarter of the retention time old. Each of
 * the next few instances waits 1/32 of the retention time longer and takes over if no snapshot has appeared. A new
 * snapshot is thus complete well before the log drops the previous one.
 *
 * <p>Immutable.
 */
public final class SnapshotPolicy {
    private static final int SNAPSHOTS_PER_RETENTION = 4;
    private static final int WRITER_DELAYS_PER_RETENTION = 32;
    private static final int MAX_WRITERS = 8;

    private final long retentionMillis;

    /** Creates a policy for a log that retains records for {@code retentionMillis}. */
    public SnapshotPolicy(long retentionMillis) {
        this.retentionMillis = Checks.positive("retentionMillis", retentionMillis);
    }

    /**
     * Returns whether {@code self} must write a snapshot now.
     *
     * @param members the members as {@code self} knows them
     * @param ageMillis the age of the newest complete snapshot; if there is none, {@link #dueAgeMillis} plus the time
     *     since this instance started
     */
    public boolean isDue(InstanceId self, List<Member> members, long ageMillis) {
        int rank = InstanceRanking.rankOf(self, InstanceRanking.rankLiveEntries(members));
        if (rank >= MAX_WRITERS) {
            return false;
        }
        long writerDelayMillis = retentionMillis / WRITER_DELAYS_PER_RETENTION;
        return ageMillis >= dueAgeMillis() + rank * writerDelayMillis;
    }

    /** Returns the age of the newest snapshot at which the first instance writes the next one. */
    public long dueAgeMillis() {
        return retentionMillis / SNAPSHOTS_PER_RETENTION;
    }
}
