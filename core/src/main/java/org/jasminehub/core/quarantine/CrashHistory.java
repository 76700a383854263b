package org.jasminehub.core.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.time.Clock;

/**
 * Attributes endpoint crashes to parts of prompts.
 *
 * <p>A part that crashes every endpoint waits for its first output in each of these crashes and never produces output.
 * Other parts are in some of the crashes by chance: those that many requests share produce output between crashes, and
 * the others are in fewer crashes. Output of a call therefore disproves the earlier suspicion of all its parts.
 *
 * <p>Not thread-safe.
 */
final class CrashHistory {
    /** Covers crashes that are minutes apart; endpoints take seconds to restart. */
    private static final long CRASH_MEMORY_MILLIS = 600_000;

    /** Bounds the memory used during long series of crashes. */
    private static final int MAX_CRASHES = 64;

    /** Bounds the number of parts whose output is remembered. */
    private static final int MAX_PARTS = 20_000;

    /** Crashes after which a part without any output is blamed. */
    private static final int MIN_CRASHES = 3;

    /** Crashes after which several such parts are blamed that cannot be told apart. */
    private static final int MIN_CRASHES_IF_TIED = 4;

    /** Crashes after which a part is blamed that produced output before the crashes. */
    private static final int MIN_CRASHES_AFTER_OUTPUT = 5;

    /** A single request, with its retries, does not show which of its parts causes the crashes. */
    private static final int MIN_REQUESTS = 2;

    /** A run of an endpoint. */
    private record Run(EndpointId endpoint, long startedWallMillis) {}

    /** A crash with the requests of each suspected part. */
    private record Crash(long observedMillis, Map<String, Set<String>> requestsByPart) {}

    /** The output of calls with a part. */
    private record Output(int count, long lastMillis) {
        static final Output NONE = new Output(0, Long.MIN_VALUE);
    }

    /** The evidence against a part. */
    private record Evidence(String part, int crashes, int requests, int outputs) {
        boolean isStrongerThan(Evidence other) {
            return crashes != other.crashes ? crashes > other.crashes : outputs < other.outputs;
        }
    }

    private final Clock clock;
    private final Map<Run, Crash> crashes = new LinkedHashMap<>();
    private final Map<String, Output> outputs = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Output> eldest) {
            return size() > MAX_PARTS;
        }
    };

    CrashHistory(Clock clock) {
        this.clock = clock;
    }

    /** Records a crash, or adds the suspects to it if it is known. */
    void add(EndpointCrash report) {
        long nowMillis = clock.monotonicMillis();
        crashes.values().removeIf(crash -> nowMillis - crash.observedMillis() > CRASH_MEMORY_MILLIS);
        Run run = new Run(report.endpoint(), report.startedWallMillis());
        if (!crashes.containsKey(run) && crashes.size() >= MAX_CRASHES) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        Crash crash = crashes.computeIfAbsent(run, each -> new Crash(nowMillis, new HashMap<>()));
        for (CrashSuspect suspect : report.suspects()) {
            for (String part : suspect.parts()) {
                crash.requestsByPart()
                        .computeIfAbsent(part, each -> new HashSet<>())
                        .add(suspect.request());
            }
        }
    }

    /** Records output of a call with {@code part}, which disproves that the part caused earlier crashes. */
    void onOutput(String part) {
        Output previous = outputs.getOrDefault(part, Output.NONE);
        outputs.put(part, new Output(previous.count() + 1, clock.monotonicMillis()));
    }

    /** Returns the number of crashes that {@code part} may have caused since the last output of a call with it. */
    int crashesOf(String part) {
        return evidence(part, crashes.values()).crashes();
    }

    boolean hasOutput(String part) {
        return outputs.containsKey(part);
    }

    /** Returns whether a call with {@code part} produced output within the last {@code millis}. */
    boolean hasOutputWithin(String part, long millis) {
        Output output = outputs.get(part);
        return output != null && clock.monotonicMillis() - output.lastMillis() <= millis;
    }

    /** Returns the time since the first of the crashes that {@code parts} may have caused, 0 if there is none. */
    long evidenceAgeMillis(PartCombination parts) {
        return crashes.values().stream()
                .filter(crash -> parts.parts().stream().allMatch(part -> mayHaveCaused(part, crash)))
                .mapToLong(crash -> clock.monotonicMillis() - crash.observedMillis())
                .max()
                .orElse(0);
    }

    /** Returns the combinations to blame for the crashes that none of {@code blamed} explains. */
    Set<PartCombination> findCulprits(Collection<PartCombination> blamed) {
        Set<PartCombination> known = new HashSet<>(blamed);
        Set<PartCombination> culprits = new HashSet<>();
        while (true) {
            List<Crash> unexplained = crashes.values().stream()
                    .filter(crash -> known.stream()
                            .noneMatch(each -> each.isIn(crash.requestsByPart().keySet())))
                    .toList();
            Set<String> strongest = strongest(unexplained);
            if (strongest.isEmpty() || !known.add(new PartCombination(List.copyOf(strongest)))) {
                return culprits;
            }
            culprits.add(new PartCombination(List.copyOf(strongest)));
        }
    }

    /** Returns the parts with the strongest evidence, or an empty set if it does not suffice. */
    private Set<String> strongest(Collection<Crash> unexplained) {
        Set<String> parts = new HashSet<>();
        unexplained.forEach(crash -> parts.addAll(crash.requestsByPart().keySet()));
        List<Evidence> all =
                parts.stream().map(part -> evidence(part, unexplained)).toList();
        List<Evidence> withoutOutput = strongestOf(all, evidence -> evidence.outputs() == 0);
        Set<String> blamed = sufficient(withoutOutput, withoutOutput.size() > 1 ? MIN_CRASHES_IF_TIED : MIN_CRASHES);
        return blamed.isEmpty()
                ? sufficient(strongestOf(all, evidence -> evidence.outputs() > 0), MIN_CRASHES_AFTER_OUTPUT)
                : blamed;
    }

    private static List<Evidence> strongestOf(List<Evidence> all, Predicate<Evidence> condition) {
        List<Evidence> candidates = all.stream().filter(condition).toList();
        return candidates.stream()
                .filter(each -> candidates.stream().noneMatch(other -> other.isStrongerThan(each)))
                .toList();
    }

    private static Set<String> sufficient(List<Evidence> strongest, int minCrashes) {
        return strongest.stream()
                .filter(each -> each.crashes() >= minCrashes && each.requests() >= MIN_REQUESTS)
                .map(Evidence::part)
                .collect(Collectors.toSet());
    }

    private Evidence evidence(String part, Collection<Crash> among) {
        int count = 0;
        Set<String> requests = new HashSet<>();
        for (Crash crash : among) {
            if (mayHaveCaused(part, crash)) {
                count++;
                requests.addAll(crash.requestsByPart().getOrDefault(part, Set.of()));
            }
        }
        return new Evidence(
                part,
                count,
                requests.size(),
                outputs.getOrDefault(part, Output.NONE).count());
    }

    private boolean mayHaveCaused(String part, Crash crash) {
        return crash.requestsByPart().containsKey(part)
                && crash.observedMillis()
                        > outputs.getOrDefault(part, Output.NONE).lastMillis();
    }
}
