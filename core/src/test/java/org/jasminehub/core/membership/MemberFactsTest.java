package org.jasminehub.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.jasminehub.core.identity.InstanceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MemberFactsTest {
    private static MemberFacts merged(List<MemberFact> facts) {
        MemberFacts result = new MemberFacts();
        facts.forEach(result::merge);
        return result;
    }

    private static Set<MemberFact> set(MemberFacts facts) {
        return new HashSet<>(facts.all());
    }

    @Group
    class Merge {
        @Provide
        Arbitrary<List<MemberFact>> histories() {
            Arbitrary<MemberFact> facts = Combinators.combine(
                            Arbitraries.integers().between(0, 5),
                            Arbitraries.longs().between(1, 4),
                            Arbitraries.of(MemberState.class))
                    .as((id, incarnation, state) -> new MemberFact(new InstanceId("agent-" + id), incarnation, state));
            return facts.list().ofMaxSize(30);
        }

        @Property(seed = "1")
        void testMergeIsCommutativeAndIdempotent(@ForAll("histories") List<MemberFact> facts, @ForAll Random random) {
            List<MemberFact> shuffled = new ArrayList<>(facts);
            shuffled.addAll(facts.subList(0, facts.size() / 2));
            Collections.shuffle(shuffled, random);
            assertEquals(set(merged(facts)), set(merged(shuffled)));
            assertEquals(merged(facts).digests(), merged(shuffled).digests());
        }

        @Property(seed = "2")
        void testMergeIsAssociative(
                @ForAll("histories") List<MemberFact> first,
                @ForAll("histories") List<MemberFact> second,
                @ForAll("histories") List<MemberFact> third) {
            MemberFacts left = merged(first);
            second.forEach(left::merge);
            third.forEach(left::merge);
            MemberFacts inner = merged(second);
            third.forEach(inner::merge);
            MemberFacts right = merged(first);
            inner.all().forEach(right::merge);
            assertEquals(set(left), set(right));
        }

        @Property(seed = "3")
        void testMergeNeverRevertsAFact(@ForAll("histories") List<MemberFact> facts) {
            MemberFacts known = new MemberFacts();
            for (MemberFact fact : facts) {
                Set<MemberFact> before = set(known);
                known.merge(fact);
                before.forEach(
                        old -> assertMovedForward(old, known.get(old.id()).orElseThrow()));
            }
        }

        private void assertMovedForward(MemberFact before, MemberFact after) {
            boolean isSameIncarnation = after.incarnation() == before.incarnation();
            assertTrue(after.incarnation() >= before.incarnation());
            assertTrue(!isSameIncarnation || after.state().compareTo(before.state()) >= 0);
        }
    }

    @Nested
    class Partition {
        @Test
        void testSeparatedRegionsConvergeByExchangingDifferingBuckets() {
            List<MemberFact> common = IntStream.range(0, 500)
                    .mapToObj(number -> fact(number, 1, MemberState.LIVE))
                    .toList();
            MemberFacts one = merged(common);
            MemberFacts other = merged(common);
            one.merge(fact(7, 1, MemberState.LEAVING));
            one.merge(fact(8, 1, MemberState.LEAVING));
            other.merge(fact(8, 2, MemberState.LIVE));
            other.merge(fact(9, 1, MemberState.LEAVING));

            List<MemberFact> toOther = one.inDifferingBuckets(other.digests());
            List<MemberFact> toOne = other.inDifferingBuckets(one.digests());
            toOther.forEach(other::merge);
            toOne.forEach(one::merge);

            assertEquals(set(one), set(other));
            assertEquals(one.digests(), other.digests());
            assertEquals(
                    fact(7, 1, MemberState.LEAVING),
                    one.get(new InstanceId("agent-7")).orElseThrow());
            assertEquals(
                    fact(8, 2, MemberState.LIVE),
                    one.get(new InstanceId("agent-8")).orElseThrow());
            assertTrue(toOther.size() < common.size() / 4);
        }

        private static MemberFact fact(int number, long incarnation, MemberState state) {
            return new MemberFact(new InstanceId("agent-" + number), incarnation, state);
        }
    }
}
