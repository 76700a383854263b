package org.jasminehub.core.history;

import java.util.List;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.Member;

/**
 * Decides who writes a snapshot and when: the first in rank after a quarter of the retention time, each of the next few
 * a turn later, so that one is complete well before the one before it is dropped.
 *
 * <p>Immutable.
 */
public final class SnapshotPolicy {
    private static final int REFRESHES_PER_RETENTION = 4;
    private static final int TURNS_PER_RETENTION = 32;
    private static final int MAX_WRITERS = 8;

    private final long retentionMillis;

    /** Creates a policy for a log that keeps records for {@code retentionMillis}. */
    public SnapshotPolicy(long retentionMillis) {
        this.retentionMillis = Checks.positive("retentionMillis", retentionMillis);
    }

    /**
     * Tells whether {@code self} writes a snapshot now.
     *
     * @param members the fleet as {@code self} sees it
     * @param ageMillis how old the newest whole snapshot is; where none was seen, {@link #dueAgeMillis} and the time
     *     since this instance started
     */
    public boolean isDue(InstanceId self, List<Member> members, long ageMillis) {
        int rank = InstanceRanking.rankOf(self, InstanceRanking.rankLiveEntries(members));
        if (rank >= MAX_WRITERS) {
            return false;
        }
        long turnMillis = retentionMillis / TURNS_PER_RETENTION;
        return ageMillis >= dueAgeMillis() + rank * turnMillis;
    }

    /** Returns the age at which the first in rank writes the next snapshot. */
    public long dueAgeMillis() {
        return retentionMillis / REFRESHES_PER_RETENTION;
    }
}
