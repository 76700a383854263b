package org.jasminehub.core.lease;

import org.jasminehub.core.identity.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * What the records read so far say of a shard's lease.
 *
 * @param knowledge whether and what they say
 * @param fencingNumber the highest number known, 0 where none is
 * @param holder who was given that number; null unless {@code knowledge} is HELD
 * @param incarnation the holder's incarnation
 * @param lastRecordOffset the offset of the shard's last record, accepted or not; -1 where none was read
 */
public record LeaseState(
        Knowledge knowledge, long fencingNumber, @Nullable InstanceId holder, long incarnation, long lastRecordOffset) {
    /** How much is known. */
    public enum Knowledge {
        /** The reader has seen no record of the shard. */
        UNSEEN,
        /** The reader has seen records only whose effect depends on records that the log has dropped. */
        UNDETERMINED,
        /** The last accepted record released the lease. */
        RELEASED,
        /** The last accepted record claimed or renewed the lease. */
        HELD
    }

    static final LeaseState UNSEEN = new LeaseState(Knowledge.UNSEEN, 0, null, 0, -1);

    LeaseState withLastRecordOffset(long offset) {
        return new LeaseState(knowledge, fencingNumber, holder, incarnation, offset);
    }

    /** Tells whether {@code instance} was given the present number in {@code itsIncarnation}. */
    public boolean isHeldBy(InstanceId instance, long itsIncarnation) {
        return knowledge == Knowledge.HELD && instance.equals(holder) && incarnation == itsIncarnation;
    }
}
