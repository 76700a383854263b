package org.jasminehub.core.experts.change;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.experts.ExpertEventKind;

/**
 * Whether a group takes requests, from what is known of its ranks; immutable.
 *
 * <pre>{@code
 * GroupReadiness next = GroupReadiness.of(group, reachable, state.ranks());
 * next.changeFrom(previous).ifPresent(events::emit);
 * }</pre>
 *
 * @param group the group
 * @param missingRanks the ranks that are unreachable or take part in no step, in order
 */
public record GroupReadiness(String group, List<Integer> missingRanks) {
    /** Creates a readiness with a copy of {@code missingRanks}. */
    public GroupReadiness {
        missingRanks = List.copyOf(missingRanks);
    }

    /** Returns the readiness of a group of which only some ranks are {@code reachable}, listed by rank. */
    public static GroupReadiness of(String group, List<Boolean> reachable, ChangeState state) {
        List<Integer> missing = IntStream.range(0, reachable.size())
                .filter(rank -> !reachable.get(rank) || !takesPart(state, rank))
                .boxed()
                .toList();
        return new GroupReadiness(group, missing);
    }

    /** Tells whether the group takes requests. */
    public boolean isRoutable() {
        return missingRanks.isEmpty();
    }

    /** Returns the event for the change from {@code before}, or nothing where the group's routing stays the same. */
    public Optional<Event> changeFrom(GroupReadiness before) {
        if (before.isRoutable() == isRoutable()) {
            return Optional.empty();
        }
        return Optional.of(isRoutable() ? new GroupWhole(group) : new GroupIncomplete(group, missingRanks));
    }

    private static boolean takesPart(ChangeState state, int rank) {
        RankState known = state.ranks().get(rank);
        return known != null && known.isJoined();
    }

    /** A group takes requests again. */
    public record GroupWhole(String group) implements Event {
        @Override
        public EventKind kind() {
            return ExpertEventKind.GROUP_WHOLE;
        }
    }

    /** A group takes no requests. */
    public record GroupIncomplete(String group, List<Integer> missingRanks) implements Event {
        @Override
        public EventKind kind() {
            return ExpertEventKind.GROUP_INCOMPLETE;
        }
    }
}
