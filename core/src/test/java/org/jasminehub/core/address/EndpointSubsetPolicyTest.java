package org.jasminehub.core.address;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.junit.jupiter.api.Test;

final class EndpointSubsetPolicyTest {
    private static final int DOMAINS = 13;
    private static final int COUNT = 16;
    private static final int FAR_COUNT = 4;
    private static final InstanceId SELF = new InstanceId("entry-1");
    /** Distances under which failure domains 0 to 2 are near. */
    private static final DomainDistance DISTANCE = domain -> number(domain) < 3 ? 0 : 1;

    private final EndpointSubsetPolicy policy = new EndpointSubsetPolicy(COUNT, FAR_COUNT);

    private static int number(FailureDomain domain) {
        return Integer.parseInt(domain.value().substring("domain-".length()));
    }

    private static Member agent(int number) {
        return new Member(
                new InstanceId("agent-" + number),
                MemberRole.AGENT,
                MemberState.LIVE,
                new FailureDomain("domain-" + number % DOMAINS),
                "127.0.0.1",
                7000,
                0,
                List.of());
    }

    private static List<Member> agents(int count) {
        return IntStream.range(0, count)
                .mapToObj(EndpointSubsetPolicyTest::agent)
                .toList();
    }

    private static boolean isNear(Member agent) {
        return DISTANCE.distance(agent.failureDomain()) == 0;
    }

    @Test
    void testNumberOfChosenAgentsIsBounded() {
        assertEquals(COUNT, policy.choose(SELF, agents(5_800), DISTANCE).size());
    }

    @Test
    void testNearAgentsAreSpreadEvenlyOverDomainsAndSomeFarAgentsAreIncluded() {
        List<Member> chosen = policy.choose(SELF, agents(5_800), DISTANCE);
        var nearByDomain = chosen.stream()
                .filter(EndpointSubsetPolicyTest::isNear)
                .collect(Collectors.groupingBy(Member::failureDomain, Collectors.counting()));
        assertEquals(Set.of(4L), new HashSet<>(nearByDomain.values()));
        assertEquals(FAR_COUNT, chosen.stream().filter(agent -> !isNear(agent)).count());
    }

    @Test
    void testFarAgentsFillTheSetIfThereAreFewNearAgents() {
        List<Member> few = agents(2 * DOMAINS);
        List<Member> chosen = policy.choose(SELF, few, DISTANCE);
        assertEquals(COUNT, chosen.size());
        assertTrue(chosen.containsAll(
                few.stream().filter(EndpointSubsetPolicyTest::isNear).toList()));
    }

    @Test
    void testAllAgentsOfASmallSystemAreChosen() {
        assertEquals(12, policy.choose(SELF, agents(12), DISTANCE).size());
    }

    @Test
    void testLossOfOneAgentReplacesOnlyThatAgent() {
        List<Member> all = agents(5_800);
        List<Member> before = policy.choose(SELF, all, DISTANCE);
        List<Member> rest = new ArrayList<>(all);
        rest.remove(before.get(0));
        Set<Member> kept = new HashSet<>(policy.choose(SELF, rest, DISTANCE));
        kept.retainAll(before);
        assertEquals(COUNT - 1, kept.size());
    }
}
