package org.jasminehub.core.history;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;

/**
 * Orders entry instances by a hash of their ids, so that any two instances have the same order in every view of the
 * members.
 */
final class InstanceRanking {
    private static final Comparator<InstanceId> ORDER =
            Comparator.comparingLong(InstanceRanking::hash).thenComparing(InstanceId::value);

    private InstanceRanking() {}

    /** Returns the live entry instances among {@code members}, in hash order. */
    static List<Member> rankLiveEntries(List<Member> members) {
        return members.stream()
                .filter(Member::isLive)
                .filter(member -> member.role() == MemberRole.ENTRY)
                .sorted(Comparator.comparing(Member::id, ORDER))
                .toList();
    }

    /** Returns the number of instances in {@code ranked} that precede {@code instance}. */
    static int rankOf(InstanceId instance, List<Member> ranked) {
        return (int) ranked.stream()
                .filter(member -> ORDER.compare(member.id(), instance) < 0)
                .count();
    }

    private static long hash(InstanceId instance) {
        return Hashing.murmur3_128()
                .hashString(instance.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
