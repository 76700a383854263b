package org.jasminehub.core.experts.change;

import java.util.Collections;
import java.util.Optional;
import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * The holder's side of a change of map, as pure functions over {@link ChangeState}.
 *
 * <p>The caller sends {@link #order} to each rank and appends {@link #record} whenever they differ from what it last
 * sent, repeats both at intervals, and feeds the answers in:
 *
 * <pre>{@code
 * ChangeState state = coordinator.takeOver(fencingNumber, ranks, lastRecord);
 * state = coordinator.replied(state, rank, reply);
 * state = coordinator.recorded(state, record, tookEffect);
 * }</pre>
 *
 * <p>Nothing is decided before every rank has answered under the holder's own number; from then on no rank takes an
 * order of an earlier holder. What the ranks have agreed to decides; the log names the map where no rank is left that
 * knows it, and orders the restarted ranks' return. Immutable and safe for use by several threads.
 */
public final class ChangeCoordinator {
    private final long marginSteps;

    /** Creates a coordinator that sets the switch step {@code marginSteps} after the present one, at least 1. */
    public ChangeCoordinator(long marginSteps) {
        this.marginSteps = Checks.positive("marginSteps", marginSteps);
    }

    /** Returns the first state of a new holder; {@code lastRecord} is the group's newest record on the log. */
    public ChangeState takeOver(long fencingNumber, int ranks, MapRecord lastRecord) {
        long version = lastRecord.mapVersion();
        return new ChangeState(
                fencingNumber,
                ChangePhase.SURVEYING,
                version,
                version,
                0,
                0,
                Collections.nCopies(ranks, (RankState) null),
                lastRecord);
    }

    /** Returns the state after a change to {@code nextVersion} was begun; only an idle group can begin one. */
    public ChangeState begin(ChangeState state, long nextVersion) {
        Checks.that(state.phase() == ChangePhase.IDLE, "phase", state.phase(), "IDLE");
        Checks.that(nextVersion > state.mapVersion(), "nextVersion", nextVersion, "newer than the map in use");
        return advance(state.withChange(ChangePhase.LOADING, state.mapVersion(), nextVersion, 0));
    }

    /** Returns the state after {@code rank} gave {@code reply}; late and foreign replies change nothing. */
    public ChangeState replied(ChangeState state, int rank, RankReply reply) {
        if (reply.state().fencingNumber() > state.fencingNumber()) {
            return state.withPhase(ChangePhase.FENCED);
        }
        if (reply.fencingNumber() != state.fencingNumber()) {
            return state;
        }
        RankState known = state.ranks().get(rank);
        if (known != null && known.isNewerThan(reply.state())) {
            return state;
        }
        ChangeState heard = state.withRank(rank, reply.state(), reply.presentStep());
        boolean refused = state.phase() == ChangePhase.ARMING && isRefusal(reply.code());
        return advance(refused ? abandon(heard) : heard);
    }

    /**
     * Returns the state after {@code record} was seen on the log; {@code tookEffect} is false where a newer lease stood
     * before it.
     */
    public ChangeState recorded(ChangeState state, MapRecord record, boolean tookEffect) {
        if (record.fencingNumber() != state.fencingNumber()) {
            return state;
        }
        if (!tookEffect) {
            return state.withPhase(ChangePhase.FENCED);
        }
        boolean decides = state.phase() == ChangePhase.COMMITTING
                && record(state).filter(record::equals).isPresent();
        ChangeState known = state.withRecorded(record);
        return advance(decides ? known.withPhase(ChangePhase.GOING) : known);
    }

    /** Returns the state after the phase took too long: a change that is not decided yet is given up. */
    public ChangeState timedOut(ChangeState state) {
        return switch (state.phase()) {
            case LOADING, ARMING, COMMITTING -> advance(abandon(state));
            default -> state;
        };
    }

    /** Returns the order that {@code rank} is to have now, or nothing. */
    public Optional<RankOrder> order(ChangeState state, int rank) {
        if (state.phase() == ChangePhase.FENCED) {
            return Optional.empty();
        }
        RankState known = state.ranks().get(rank);
        RankOrder special = known == null ? null : orderOfPhase(state, known);
        return Optional.of(special != null ? special : new RankOrder.Survey(state.fencingNumber()));
    }

    /** Returns the record that is to be on the log and is not known to be there, or nothing. */
    public Optional<MapRecord> record(ChangeState state) {
        return switch (state.phase()) {
            case COMMITTING -> Optional.of(newRecord(state, MapRecord.Kind.COMMIT, state.nextVersion()));
            case GOING, JOINING ->
                state.any(rank -> !rank.isJoined()) && !namesAll(state)
                        ? Optional.of(newRecord(state, MapRecord.Kind.ROSTER, state.nextVersion()))
                        : Optional.empty();
            case ABORTING, IDLE -> repairRecord(state);
            default -> Optional.empty();
        };
    }

    private static Optional<MapRecord> repairRecord(ChangeState state) {
        MapRecord last = state.recorded();
        boolean right = last != null && last.mapVersion() == state.mapVersion();
        return right ? Optional.empty() : Optional.of(newRecord(state, MapRecord.Kind.ABORT, state.mapVersion()));
    }

    private static MapRecord newRecord(ChangeState state, MapRecord.Kind kind, long version) {
        return new MapRecord(kind, state.fencingNumber(), version, state.incarnations());
    }

    /** Tells whether the holder's own last record lets in every rank as it is now. */
    private static boolean namesAll(ChangeState state) {
        MapRecord last = state.recorded();
        return last != null
                && last.fencingNumber() == state.fencingNumber()
                && last.mapVersion() == state.nextVersion()
                && last.incarnations().equals(state.incarnations());
    }

    @SuppressWarnings("StatementSwitchToExpressionSwitch")
    private static @Nullable RankOrder orderOfPhase(ChangeState state, RankState known) {
        long number = state.fencingNumber();
        long incarnation = known.incarnation();
        long next = state.nextVersion();
        switch (state.phase()) {
            case LOADING:
                return known.loadedVersion() < next ? new RankOrder.Load(number, incarnation, next) : null;
            case ARMING:
                return known.isArmedFor(next)
                        ? null
                        : new RankOrder.Arm(number, incarnation, state.mapVersion(), next, state.switchStep());
            case ABORTING:
                return known.isJoined() && !isEnded(state, known)
                        ? new RankOrder.Abort(number, incarnation, next)
                        : null;
            case GOING:
                return known.isArmedFor(next) ? new RankOrder.Go(number, incarnation, next) : joinOrder(state, known);
            case JOINING:
                return joinOrder(state, known);
            default:
                return null;
        }
    }

    private static @Nullable RankOrder joinOrder(ChangeState state, RankState known) {
        if (known.isJoined() || !namesAll(state)) {
            return null;
        }
        return new RankOrder.Join(
                state.fencingNumber(),
                known.incarnation(),
                state.mapVersion(),
                state.nextVersion(),
                state.switchStep());
    }

    private ChangeState advance(ChangeState state) {
        return switch (state.phase()) {
            case SURVEYING -> state.allHeard() ? resolve(state) : state;
            case LOADING, ARMING, COMMITTING -> advanceChange(state);
            case GOING ->
                state.all(rank -> rank.runs(state.nextVersion()))
                        ? state.withChange(ChangePhase.IDLE, state.nextVersion(), state.nextVersion(), 0)
                        : state;
            case ABORTING -> state.all(rank -> !rank.isJoined() || isEnded(state, rank)) ? settle(state) : state;
            case JOINING, IDLE -> settle(state);
            case FENCED -> state;
        };
    }

    private ChangeState advanceChange(ChangeState state) {
        if (state.any(rank -> !rank.isJoined())) {
            return advance(abandon(state));
        }
        if (state.phase() == ChangePhase.LOADING && state.all(rank -> rank.loadedVersion() >= state.nextVersion())) {
            long step = state.presentStep() + marginSteps;
            return state.withChange(ChangePhase.ARMING, state.mapVersion(), state.nextVersion(), step);
        }
        if (state.phase() == ChangePhase.ARMING && state.all(rank -> rank.isArmedFor(state.nextVersion()))) {
            return state.withPhase(ChangePhase.COMMITTING);
        }
        return state;
    }

    /** Gives up the open change; a commit that is in doubt leaves the log in doubt until another record is seen. */
    private static ChangeState abandon(ChangeState state) {
        boolean inDoubt = state.phase() == ChangePhase.COMMITTING;
        ChangeState aborting = state.withPhase(ChangePhase.ABORTING);
        return inDoubt ? aborting.withRecorded(null) : aborting;
    }

    /** Closes the change on the present map: idle if the group is whole, otherwise the missing ranks come first. */
    private static ChangeState settle(ChangeState state) {
        boolean whole = state.all(RankState::isJoined);
        ChangePhase phase = whole ? ChangePhase.IDLE : ChangePhase.JOINING;
        return state.withChange(phase, state.mapVersion(), state.mapVersion(), 0);
    }

    private static boolean isEnded(ChangeState state, RankState rank) {
        return rank.runs(state.mapVersion()) && rank.endedVersion() >= state.nextVersion();
    }

    static boolean isRefusal(OrderCode code) {
        return code == OrderCode.STEP_PASSED || code == OrderCode.ENDED || code == OrderCode.OTHER_CHANGE;
    }

    /** Decides what an earlier holder left open, from what every rank reported under this holder's number. */
    private ChangeState resolve(ChangeState state) {
        Optional<RankState> going = first(state, RankMode.GOING);
        if (going.isPresent()) {
            return advance(openAs(state, ChangePhase.GOING, going.get()));
        }
        Optional<RankState> armed = first(state, RankMode.ARMED);
        if (armed.isPresent()) {
            boolean reached = state.any(rank -> rank.runs(armed.get().nextVersion()));
            boolean go = reached || isCommitted(state, armed.get().nextVersion());
            return advance(openAs(state, go ? ChangePhase.GOING : ChangePhase.ABORTING, armed.get()));
        }
        long version = first(state, RankMode.RUNNING).map(RankState::mapVersion).orElse(state.mapVersion());
        return settle(state.withChange(ChangePhase.JOINING, version, version, 0));
    }

    private static ChangeState openAs(ChangeState state, ChangePhase phase, RankState rank) {
        return state.withChange(phase, rank.mapVersion(), rank.nextVersion(), rank.switchStep());
    }

    /** Tells whether the log has decided on {@code version} and every rank is still armed as the record names it. */
    private static boolean isCommitted(ChangeState state, long version) {
        MapRecord last = state.recorded();
        return last != null
                && last.kind() == MapRecord.Kind.COMMIT
                && last.mapVersion() == version
                && last.incarnations().equals(state.incarnations())
                && state.all(rank -> rank.isArmedFor(version));
    }

    private static Optional<RankState> first(ChangeState state, RankMode mode) {
        return state.heard().stream().filter(rank -> rank.mode() == mode).findFirst();
    }
}
