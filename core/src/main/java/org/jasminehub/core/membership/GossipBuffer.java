package org.jasminehub.core.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * Buffer of new member facts that this instance still has to send to peers with its heartbeats.
 *
 * <p>Each fact is sent a limited number of times, the least often sent first, so that traffic grows with the number of
 * changes and not with the number of members. A peer that misses a fact obtains it by comparing digests.
 *
 * <p>Not thread-safe.
 */
public final class GossipBuffer {
    private final int sendsPerFact;
    private final Map<InstanceId, Pending> pending = new HashMap<>();

    /** Creates an empty buffer that returns each fact {@code sendsPerFact} times. */
    public GossipBuffer(int sendsPerFact) {
        this.sendsPerFact = (int) Checks.positive("sendsPerFact", sendsPerFact);
    }

    /** Adds a fact that was new to this instance; it replaces an earlier fact about the same member. */
    public void add(MemberFact fact) {
        pending.put(fact.id(), new Pending(fact, 0));
    }

    /** Returns up to {@code maxFacts} facts for the next message and counts them as sent. */
    public List<MemberFact> next(int maxFacts) {
        List<Pending> chosen = pending.values().stream()
                .sorted(Comparator.comparingInt(Pending::sends)
                        .thenComparing(entry -> entry.fact().id()))
                .limit(maxFacts)
                .toList();
        chosen.forEach(this::recordSend);
        return chosen.stream().map(Pending::fact).toList();
    }

    private void recordSend(Pending entry) {
        int sends = entry.sends() + 1;
        if (sends >= sendsPerFact) {
            pending.remove(entry.fact().id());
        } else {
            pending.put(entry.fact().id(), new Pending(entry.fact(), sends));
        }
    }

    private record Pending(MemberFact fact, int sends) {}
}
