package org.jasminehub.core.lease;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.jasminehub.core.internal.Checks;

/**
 * Assigns groups of ranks to a fixed number of shards.
 *
 * <p>Leases are held per shard, so the number of renewals in the log does not grow with the number of groups.
 *
 * <pre>{@code
 * ShardId shard = new ShardPolicy(16).shardOf("group-17");
 * }</pre>
 *
 * <p>Immutable. All processes must use the same number of shards.
 */
public final class ShardPolicy {
    private final int shardCount;

    /** Creates a policy for {@code shardCount} shards, at least 1. */
    public ShardPolicy(int shardCount) {
        this.shardCount = (int) Checks.positive("shardCount", shardCount);
    }

    /** Returns the shard that {@code group} is assigned to. */
    public ShardId shardOf(String group) {
        long hash =
                Hashing.murmur3_128().hashString(group, StandardCharsets.UTF_8).asLong();
        return shard((int) Math.floorMod(hash, (long) shardCount));
    }

    /** Returns all shards. */
    public List<ShardId> shards() {
        return IntStream.range(0, shardCount).mapToObj(ShardPolicy::shard).toList();
    }

    private static ShardId shard(int number) {
        return new ShardId("shard-" + number);
    }
}
