package org.jasminehub.core.lease;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.jasminehub.core.identity.InstanceId;

/**
 * Ranks the live entry instances as candidates for the lease of a shard by rendezvous hashing.
 *
 * <p>The first-ranked candidate claims the lease first and the others wait, so that few claims are appended that would
 * be rejected. Instances with different membership views may rank the candidates differently; this causes additional
 * appends but no other harm. Stateless.
 */
public final class CandidateRanking {
    private CandidateRanking() {}

    /** Returns the number of instances in {@code live} that rank before {@code self} for {@code shard}. */
    public static int rank(ShardId shard, InstanceId self, Collection<InstanceId> live) {
        long ownScore = score(shard, self);
        return (int) live.stream()
                .filter(other -> !other.equals(self))
                .filter(other -> score(shard, other) > ownScore)
                .count();
    }

    private static long score(ShardId shard, InstanceId instance) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(shard.value(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(instance.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
