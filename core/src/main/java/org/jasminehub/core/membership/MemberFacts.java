package org.jasminehub.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.jasminehub.core.identity.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * The newest fact of each instance.
 *
 * <p>Two holders compare digests of buckets and exchange only the buckets that differ.
 *
 * <pre>{@code
 * if (facts.merge(fact)) {
 *     hearsay.add(fact);
 * }
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class MemberFacts {
    private static final int BUCKET_COUNT = 64;

    private final Map<InstanceId, MemberFact> facts = new HashMap<>();
    private final long[] digests = new long[BUCKET_COUNT];

    /** Takes a fact from any source; returns whether it brought something new. */
    public boolean merge(MemberFact fact) {
        @Nullable MemberFact known = facts.get(fact.id());
        MemberFact merged = known == null ? fact : known.merge(fact);
        if (merged.equals(known)) {
            return false;
        }
        if (known != null) {
            toggle(known);
        }
        toggle(merged);
        facts.put(fact.id(), merged);
        return true;
    }

    /** Returns the newest fact of {@code id}. */
    public Optional<MemberFact> get(InstanceId id) {
        return Optional.ofNullable(facts.get(id));
    }

    /** Returns all facts. */
    public Collection<MemberFact> all() {
        return List.copyOf(facts.values());
    }

    /** Drops the facts of the instances that {@code isObsolete}. */
    public void removeIf(Predicate<InstanceId> isObsolete) {
        List<MemberFact> obsolete = facts.values().stream()
                .filter(fact -> isObsolete.test(fact.id()))
                .toList();
        for (MemberFact fact : obsolete) {
            toggle(fact);
            facts.remove(fact.id());
        }
    }

    /** Returns one digest for each bucket; equal facts give equal digests. */
    public List<Long> digests() {
        return Arrays.stream(digests).boxed().toList();
    }

    /** Returns the facts of the buckets whose digests differ from {@code others}. */
    public List<MemberFact> whereDifferent(List<Long> others) {
        return facts.values().stream()
                .filter(fact -> !others.get(bucket(fact)).equals(digests[bucket(fact)]))
                .toList();
    }

    private void toggle(MemberFact fact) {
        String text = fact.id() + " " + fact.incarnation() + " " + fact.state();
        digests[bucket(fact)] ^=
                Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    private static int bucket(MemberFact fact) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(fact.id().value(), StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, BUCKET_COUNT);
    }
}
