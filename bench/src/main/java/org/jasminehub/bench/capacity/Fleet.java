package org.jasminehub.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberFact;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.membership.Target;

/** Creates the members of a system of the size that jasminehub is designed for. */
final class Fleet {
    static final int ENTRIES = 2_300;
    static final int AGENTS = 5_800;
    static final int FAILURE_DOMAINS = 13;
    static final int MODELS = 4;
    /** The number of teams; each has ten workspaces. */
    static final int TEAMS = 730;

    private Fleet() {}

    static List<Member> entries(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member("entry-instance-" + i, MemberRole.ENTRY, i, List.of()));
        }
        return members;
    }

    static List<Member> agents(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Target target = Target.model("model-" + i % MODELS);
            members.add(member("agent-instance-" + i, MemberRole.AGENT, i, List.of(target)));
        }
        return members;
    }

    /** Returns new objects for all members of the system. */
    static List<Member> all() {
        List<Member> members = entries(ENTRIES);
        members.addAll(agents(AGENTS));
        return members;
    }

    static MemberFact fact(Member member) {
        return new MemberFact(new InstanceId(member.id().value()), 1_700_000_000_000L, MemberState.LIVE);
    }

    private static Member member(String name, MemberRole role, int number, List<Target> serves) {
        int callerPort = role == MemberRole.ENTRY ? 8_080 : 0;
        return new Member(
                new InstanceId(name),
                role,
                MemberState.LIVE,
                new FailureDomain("failure-domain-" + number % FAILURE_DOMAINS),
                "10.0." + number / 250 + "." + number % 250,
                7_070,
                callerPort,
                serves);
    }
}
