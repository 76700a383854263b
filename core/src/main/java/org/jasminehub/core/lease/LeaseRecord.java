package org.jasminehub.core.lease;

import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * A log record that claims, renews or releases the lease of a shard.
 *
 * @param action the requested operation
 * @param shard the shard whose lease is concerned
 * @param holder the instance that wrote the record
 * @param incarnation the writer's incarnation
 * @param fencingNumber the offset of the claim under which the writer holds the lease; 0 in a claim
 * @param readToOffset the offset up to which the writer had read the log, exclusive
 * @param nonce a number unique among the records of the writer, by which it recognizes this record when reading the log
 */
public record LeaseRecord(
        LeaseAction action,
        ShardId shard,
        InstanceId holder,
        long incarnation,
        long fencingNumber,
        long readToOffset,
        long nonce) {
    /** Creates a record and validates its components. */
    public LeaseRecord {
        Checks.notNegative("incarnation", incarnation);
        Checks.notNegative("fencingNumber", fencingNumber);
        Checks.notNegative("readToOffset", readToOffset);
    }

    /** Returns whether {@code instance} wrote this record in {@code writerIncarnation}. */
    public boolean isWrittenBy(InstanceId instance, long writerIncarnation) {
        return holder.equals(instance) && incarnation == writerIncarnation;
    }
}
