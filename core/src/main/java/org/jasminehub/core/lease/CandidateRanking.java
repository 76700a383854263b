package org.jasminehub.core.lease;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.jasminehub.core.identity.InstanceId;

/**
 * Ranks the live entry instances for the lease of a shard by rendezvous hashing, so that one claims first and the others
 * keep the log free of claims that would fail.
 *
 * <p>Instances with different views rank differently, which costs appends only. Stateless.
 */
public final class CandidateRanking {
    private CandidateRanking() {}

    /** Returns how many of {@code live} come before {@code self} for {@code shard}. */
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
