package org.jasminehub.core.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberState;
import org.junit.jupiter.api.Test;

final class SnapshotPolicyTest {
    private static final long RETENTION_MILLIS = 3_600_000;

    private final SnapshotPolicy policy = new SnapshotPolicy(RETENTION_MILLIS);
    private final List<Member> members = IntStream.range(0, 100)
            .mapToObj(i -> HistoryFixtures.entry(i, "domain-" + i % 3))
            .toList();

    private List<Member> writers(List<Member> view, long ageMillis) {
        return members.stream()
                .filter(member -> policy.isDue(member.id(), view, ageMillis))
                .toList();
    }

    @Test
    void testNoInstanceWritesWhileSnapshotIsRecent() {
        assertEquals(List.of(), writers(members, RETENTION_MILLIS / 8));
    }

    @Test
    void testOnlyFirstInstanceWritesWhenSnapshotIsDue() {
        assertEquals(1, writers(members, RETENTION_MILLIS / 4).size());
    }

    @Test
    void testFewOtherInstancesTakeOverWithinHalfOfRetention() {
        int count = writers(members, RETENTION_MILLIS / 2).size();
        assertTrue(count >= 2 && count <= 8, () -> count + " writers");
        assertEquals(count, writers(members, Long.MAX_VALUE).size());
    }

    @Test
    void testLeavingWriterIsReplaced() {
        Member first = writers(members, RETENTION_MILLIS / 4).get(0);
        List<Member> view = members.stream()
                .map(member -> member.equals(first) ? member.withState(MemberState.LEAVING) : member)
                .toList();
        assertTrue(writers(view, RETENTION_MILLIS / 4).stream().anyMatch(member -> !member.equals(first)));
    }
}
