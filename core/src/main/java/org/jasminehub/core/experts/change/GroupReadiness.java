package org.jasminehub.core.experts.change;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.experts.ExpertEventKind;

/**
 * Whether a group accepts requests, derived from the known states of its ranks. Immutable.
 *
 * <pre>{@code
 * GroupReadiness next = GroupReadiness.of(group, reachable, state.ranks());
 * next.changeFrom(previous).ifPresent(events::emit);
 * }</pre>
 *
 * @param group the name of the group
 * @param missingRanks the ranks that are unreachable or have not joined, in ascending order
 */
public record GroupReadiness(String group, List<Integer> missingRanks) {
    /** Creates a readiness with a copy of {@code missingRanks}. */
    public GroupReadiness {
        missingRanks = List.copyOf(missingRanks);
    }

    /** Returns the readiness of a group; {@code reachable} states for each rank whether it can be reached. */
    public static GroupReadiness of(String group, List<Boolean> reachable, ChangeState state) {
        List<Integer> missing = IntStream.range(0, reachable.size())
                .filter(rank -> !reachable.get(rank) || !hasJoined(state, rank))
                .boxed()
                .toList();
        return new GroupReadiness(group, missing);
    }

    /** Returns whether the group accepts requests. */
    public boolean isRoutable() {
        return missingRanks.isEmpty();
    }

    /** Returns the event for the change from {@code before}, or empty if the group's routability is unchanged. */
    public Optional<Event> changeFrom(GroupReadiness before) {
        if (before.isRoutable() == isRoutable()) {
            return Optional.empty();
        }
        return Optional.of(isRoutable() ? new GroupWhole(group) : new GroupIncomplete(group, missingRanks));
    }

    private static boolean hasJoined(ChangeState state, int rank) {
        RankState known = state.ranks().get(rank);
        return known != null && known.isJoined();
    }

    /** The event of a group that accepts requests again. */
    public record GroupWhole(String group) implements Event {
        @Override
        public EventKind kind() {
            return ExpertEventKind.GROUP_WHOLE;
        }
    }

    /** The event of a group that accepts no requests because ranks are missing. */
    public record GroupIncomplete(String group, List<Integer> missingRanks) implements Event {
        @Override
        public EventKind kind() {
            return ExpertEventKind.GROUP_INCOMPLETE;
        }
    }
}
