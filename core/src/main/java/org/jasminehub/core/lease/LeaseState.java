package org.jasminehub.core.lease;

import org.jasminehub.core.identity.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * The state of a shard's lease according to the log records read so far.
 *
 * @param status whether the lease is held, as far as it is known
 * @param fencingNumber the fencing number of the last accepted record, or 0 if none is known
 * @param holder the instance that wrote the last accepted record, or null if none is known
 * @param incarnation the incarnation of {@code holder}
 * @param lastRecordOffset the offset of the last record of the shard, accepted or not, or -1 if none was read
 */
public record LeaseState(
        Status status, long fencingNumber, @Nullable InstanceId holder, long incarnation, long lastRecordOffset) {
    /** Whether the lease is held, as far as the reader knows. */
    public enum Status {
        /** No record of the shard has been read. */
        UNSEEN,
        /** The effect of the records read depends on earlier records that the log no longer contains. */
        UNDETERMINED,
        /** The last accepted record released the lease. */
        RELEASED,
        /** The last accepted record claimed or renewed the lease. */
        HELD
    }

    static final LeaseState UNSEEN = new LeaseState(Status.UNSEEN, 0, null, 0, -1);

    LeaseState withLastRecordOffset(long offset) {
        return new LeaseState(status, fencingNumber, holder, incarnation, offset);
    }

    /** Returns whether {@code instance} in {@code ofIncarnation} is the holder according to the log. */
    public boolean isHeldBy(InstanceId instance, long ofIncarnation) {
        return status == Status.HELD && instance.equals(holder) && incarnation == ofIncarnation;
    }
}
