package org.jasminehub.core.experts.change;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The state of one group as known to the holder of the shard's lease. Immutable.
 *
 * @param fencingNumber the fencing number of the holder's lease
 * @param phase the phase of the change
 * @param mapVersion the map version that the group runs on, or ran on before the open change
 * @param nextVersion the map version of the open change; equal to {@code mapVersion} if no change is open
 * @param switchStep the first step that runs on the next map
 * @param presentStep the highest step that any rank has reported
 * @param ranks the newest state that each rank reported under this fencing number, null before its first report
 * @param recorded the newest record of the group on the log, null while it is unknown
 */
public record ChangeState(
        long fencingNumber,
        ChangePhase phase,
        long mapVersion,
        long nextVersion,
        long switchStep,
        long presentStep,
        List<@Nullable RankState> ranks,
        @Nullable MapRecord recorded) {

    /** Creates a state with an unmodifiable copy of {@code ranks}. */
    public ChangeState {
        ranks = Collections.unmodifiableList(new ArrayList<>(ranks));
    }

    /** Returns the states of the ranks that have reported. */
    List<RankState> reported() {
        return ranks.stream().filter(Objects::nonNull).toList();
    }

    boolean allReported() {
        return ranks.stream().allMatch(Objects::nonNull);
    }

    boolean all(Predicate<RankState> condition) {
        return allReported() && reported().stream().allMatch(condition);
    }

    boolean any(Predicate<RankState> condition) {
        return reported().stream().anyMatch(condition);
    }

    List<Long> incarnations() {
        return reported().stream().map(RankState::incarnation).toList();
    }

    ChangeState withPhase(ChangePhase newPhase) {
        return new ChangeState(
                fencingNumber, newPhase, mapVersion, nextVersion, switchStep, presentStep, ranks, recorded);
    }

    ChangeState withChange(ChangePhase newPhase, long version, long next, long step) {
        return new ChangeState(fencingNumber, newPhase, version, next, step, presentStep, ranks, recorded);
    }

    ChangeState withRecorded(@Nullable MapRecord newRecorded) {
        return new ChangeState(
                fencingNumber, phase, mapVersion, nextVersion, switchStep, presentStep, ranks, newRecorded);
    }

    ChangeState withRank(int rank, RankState state, long step) {
        List<@Nullable RankState> changed = new ArrayList<>(ranks);
        changed.set(rank, state);
        return new ChangeState(
                fencingNumber,
                phase,
                mapVersion,
                nextVersion,
                switchStep,
                Math.max(presentStep, step),
                changed,
                recorded);
    }
}
