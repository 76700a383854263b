package org.jasminehub.core.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.internal.Checks;

/**
 * The new facts that this instance still passes on with its heartbeats.
 *
 * <p>Each fact is sent a limited number of times, the least sent first, so that traffic follows the number of changes
 * and not the number of members. What a peer misses in this way it finds by comparing digests.
 *
 * <p>Not safe for use by several threads.
 */
public final class Hearsay {
    private final int sendsPerFact;
    private final Map<InstanceId, Pending> pending = new HashMap<>();

    /** Creates an empty buffer that gives each fact out {@code sendsPerFact} times. */
    public Hearsay(int sendsPerFact) {
        this.sendsPerFact = (int) Checks.positive("sendsPerFact", sendsPerFact);
    }

    /** Adds a fact that was news here; it replaces an older one of the same instance. */
    public void add(MemberFact fact) {
        pending.put(fact.id(), new Pending(fact, 0));
    }

    /** Returns at most {@code maxFacts} facts for one message and counts them as sent. */
    public List<MemberFact> next(int maxFacts) {
        List<Pending> chosen = pending.values().stream()
                .sorted(Comparator.comparingInt(Pending::sends)
                        .thenComparing(entry -> entry.fact().id()))
                .limit(maxFacts)
                .toList();
        chosen.forEach(this::countSend);
        return chosen.stream().map(Pending::fact).toList();
    }

    private void countSend(Pending entry) {
        int sends = entry.sends() + 1;
        if (sends >= sendsPerFact) {
            pending.remove(entry.fact().id());
        } else {
            pending.put(entry.fact().id(), new Pending(entry.fact(), sends));
        }
    }

    private record Pending(MemberFact fact, int sends) {}
}
