package org.jasminehub.core.lease;

import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * One record of the log about the lease of a shard.
 *
 * @param action what the writer asks for
 * @param shard the shard
 * @param holder the writer
 * @param incarnation the writer's incarnation
 * @param fencingNumber the offset of the claim under which the writer holds the lease; 0 in a claim
 * @param readToOffset the offset up to which the writer had read the log, exclusive
 * @param nonce unique among the writer's records, by which it finds this record again
 */
public record LeaseRecord(
        LeaseAction action,
        ShardId shard,
        InstanceId holder,
        long incarnation,
        long fencingNumber,
        long readToOffset,
        long nonce) {
    /** Creates a checked record. */
    public LeaseRecord {
        Checks.notNegative("incarnation", incarnation);
        Checks.notNegative("fencingNumber", fencingNumber);
        Checks.notNegative("readToOffset", readToOffset);
    }

    /** Tells whether {@code instance} wrote it in {@code itsIncarnation}. */
    public boolean isFrom(InstanceId instance, long itsIncarnation) {
        return holder.equals(instance) && incarnation == itsIncarnation;
    }
}
