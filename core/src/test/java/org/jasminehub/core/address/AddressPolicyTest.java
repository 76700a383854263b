package org.jasminehub.core.address;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.junit.jupiter.api.Test;

final class AddressPolicyTest {
    private final AddressPolicy policy = new AddressPolicy(3);

    private static Member entry(int number, String domain) {
        return new Member(
                new InstanceId("entry-" + number),
                MemberRole.ENTRY,
                MemberState.LIVE,
                new FailureDomain(domain),
                "127.0.0.1",
                7000 + number,
                8000 + number,
                List.of());
    }

    private static List<Member> sevenInThreeDomains() {
        return IntStream.range(0, 7).mapToObj(i -> entry(i, "domain-" + i % 3)).toList();
    }

    @Test
    void testSubsetSpansAllFailureDomains() {
        List<Member> chosen = policy.choose(new WorkspaceId("agency"), sevenInThreeDomains());
        assertEquals(3, chosen.stream().map(Member::failureDomain).distinct().count());
    }

    @Test
    void testLeavingInstanceIsNotChosen() {
        List<Member> members = new ArrayList<>(sevenInThreeDomains());
        WorkspaceId workspace = new WorkspaceId("agency");
        Member preferred = policy.choose(workspace, members).get(0);
        members.replaceAll(member -> member.equals(preferred) ? member.withState(MemberState.LEAVING) : member);
        List<Member> chosen = policy.choose(workspace, members);
        assertFalse(chosen.stream().anyMatch(member -> member.id().equals(preferred.id())));
    }

    @Test
    void testLossOfOneInstanceAffectsOnlyItsWorkspaces() {
        List<Member> all = sevenInThreeDomains();
        Member lost = all.get(2);
        List<Member> rest = all.stream().filter(member -> !member.equals(lost)).toList();
        for (int i = 0; i < 200; i++) {
            WorkspaceId workspace = new WorkspaceId("workspace-" + i);
            Member before = policy.choose(workspace, all).get(0);
            Member after = policy.choose(workspace, rest).get(0);
            assertTrue(before.equals(lost) || before.equals(after));
        }
    }
}
