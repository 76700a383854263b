package org.jasminehub.core.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jasminehub.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Holds back calls whose prompt contains a part that crashes endpoints.
 *
 * <p>A prompt that triggers a fault of the model engine crashes each endpoint that it is sent to. Retries and new
 * requests with the same part then crash the fleet one endpoint after the other, and a group of engines is down most of
 * the time. Parts that are blamed for several crashes are therefore quarantined. A part whose quarantine has expired is
 * quarantined again, for twice as long, after one more crash. Parts that were in the same crashes are quarantined in
 * combination: a call with only some of them is accepted, and its outcome tells them apart.
 *
 * <pre>{@code
 * quarantine.onCrash(new EndpointCrash(endpoint, startedWallMillis, suspects));
 * if (quarantine.findQuarantined(parts).isPresent()) { ... refuse the call ... }
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class PromptQuarantine {
    /** Length of a first quarantine; one that is too long costs less than one more crash of a group of engines. */
    public static final long QUARANTINE_MILLIS = 600_000;

    /** Longest quarantine, also for verdicts of other instances. */
    public static final long MAX_QUARANTINE_MILLIS = 3_600_000;

    /** Crashes after which a call that is suspected in all of them is not retried. */
    private static final int MAX_CRASHES_BEFORE_RETRY = 1;

    /**
     * What became of the verdict of another instance.
     *
     * @param adopted the combination that is quarantined here because of the verdict, null if there is none
     * @param disproved the parts of which this instance has seen output since the crashes
     */
    public record Adoption(@Nullable PartCombination adopted, Set<String> disproved) {}

    private record Term(long untilMillis, long lengthMillis) {}

    private final Clock clock;
    private final CrashHistory history;
    private final Map<PartCombination, Term> terms = new HashMap<>();

    /** Creates a quarantine without parts. */
    public PromptQuarantine(Clock clock) {
        this.clock = clock;
        this.history = new CrashHistory(clock);
    }

    /** Records a crash and returns the combinations that are quarantined because of it. */
    public Set<PartCombination> onCrash(EndpointCrash crash) {
        history.add(crash);
        Set<PartCombination> blamed = new HashSet<>(history.findCulprits(quarantined()));
        for (PartCombination expired : terms.keySet()) {
            boolean isSuspected = crash.suspects().stream().anyMatch(suspect -> expired.isIn(suspect.parts()));
            if (isSuspected && remainingMillis(expired) == 0) {
                blamed.add(expired);
            }
        }
        blamed.forEach(this::quarantine);
        return blamed;
    }

    private void quarantine(PartCombination combination) {
        Term previous = terms.get(combination);
        long lengthMillis =
                previous == null ? QUARANTINE_MILLIS : Math.min(MAX_QUARANTINE_MILLIS, 2 * previous.lengthMillis());
        terms.put(combination, new Term(clock.monotonicMillis() + lengthMillis, lengthMillis));
    }

    /**
     * Records that a call has produced output, which clears the parts of its prompt.
     *
     * @return the parts that were quarantined, or suspected in several crashes, until now
     */
    public Set<String> onOutput(Collection<String> parts) {
        Set<String> cleared = new HashSet<>();
        for (String part : parts) {
            boolean isSuspected = history.crashesOf(part) > MAX_CRASHES_BEFORE_RETRY;
            if (clear(part) || isSuspected) {
                cleared.add(part);
            }
        }
        return cleared;
    }

    /** Records output of a call with {@code part}, here or at another instance; returns whether a quarantine changes. */
    public boolean clear(String part) {
        history.onOutput(part);
        boolean isChanged = false;
        for (Map.Entry<PartCombination, Term> entry : List.copyOf(terms.entrySet())) {
            if (entry.getKey().parts().contains(part)) {
                isChanged = true;
                terms.remove(entry.getKey());
                Set<String> rest = entry.getKey().without(Set.of(part));
                if (!rest.isEmpty()) {
                    terms.put(new PartCombination(List.copyOf(rest)), entry.getValue());
                }
            }
        }
        return isChanged;
    }

    /**
     * Applies the verdict of another instance.
     *
     * @param remainingMillis the rest of the quarantine
     * @param evidenceAgeMillis the time since the first crash that counted
     */
    public Adoption adopt(PartCombination combination, long remainingMillis, long evidenceAgeMillis) {
        Set<String> disproved = new HashSet<>(combination.parts());
        disproved.removeIf(part -> !history.hasOutputWithin(part, evidenceAgeMillis));
        Set<String> rest = combination.without(disproved);
        if (rest.isEmpty() || remainingMillis <= 0) {
            return new Adoption(null, disproved);
        }
        PartCombination adopted = new PartCombination(List.copyOf(rest));
        if (remainingMillis(adopted) > 0) {
            return new Adoption(null, disproved);
        }
        long boundedMillis = Math.min(MAX_QUARANTINE_MILLIS, remainingMillis);
        terms.put(adopted, new Term(clock.monotonicMillis() + boundedMillis, QUARANTINE_MILLIS));
        return new Adoption(adopted, disproved);
    }

    /** Returns whether a call should not be retried because one of its parts may have caused several crashes. */
    public boolean isSuspected(Collection<String> parts) {
        return parts.stream()
                .anyMatch(part -> !history.hasOutput(part) && history.crashesOf(part) > MAX_CRASHES_BEFORE_RETRY);
    }

    /** Returns a quarantined combination whose parts are all among {@code parts}. */
    public Optional<PartCombination> findQuarantined(Collection<String> parts) {
        return terms.keySet().stream()
                .filter(combination -> combination.isIn(parts) && remainingMillis(combination) > 0)
                .findFirst();
    }

    /** Returns the rest of the quarantine of {@code combination}, 0 if it is not quarantined. */
    public long remainingMillis(PartCombination combination) {
        Term term = terms.get(combination);
        return term == null ? 0 : Math.max(0, term.untilMillis() - clock.monotonicMillis());
    }

    /** Returns the time since the first crash that {@code combination} may have caused, 0 if none is known here. */
    public long evidenceAgeMillis(PartCombination combination) {
        return history.evidenceAgeMillis(combination);
    }

    /** Returns the combinations that are quarantined. */
    public Set<PartCombination> quarantined() {
        return terms.keySet().stream()
                .filter(combination -> remainingMillis(combination) > 0)
                .collect(Collectors.toUnmodifiableSet());
    }
}
