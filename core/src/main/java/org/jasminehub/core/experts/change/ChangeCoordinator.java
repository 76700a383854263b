package org.jasminehub.core.experts.change;

import java.util.Collections;
import java.util.Optional;
import org.jasminehub.core.internal.Checks;
import org.jspecify.annotations.Nullable;

/**
 * The protocol of a map change as run by the lease holder, as pure functions of {@link ChangeState}.
 *
 * <p>The caller sends {@link #order} to each rank and appends {@link #record} to the log whenever they change, resends
 * both at intervals, and passes in the replies:
 *
 * <pre>{@code
 * ChangeState state = coordinator.takeOver(fencingNumber, ranks, lastRecord);
 * state = coordinator.onReply(state, rank, reply);
 * state = coordinator.onRecord(state, record, tookEffect);
 * }</pre>
 *
 * <p>A new holder decides nothing before every rank has replied under the holder's own fencing number; from then on,
 * the ranks reject orders of earlier holders. A change that an earlier holder left open is resolved from the states
 * that the ranks report. The log is needed to find a commit for which all ranks are still armed, to find the map
 * version when no rank knows it, and to admit restarted ranks. Immutable and thread-safe.
 */
public final class ChangeCoordinator {
    private final long marginSteps;

    /** Creates a coordinator that schedules the switch {@code marginSteps}, at least 1, after the current step. */
    public ChangeCoordinator(long marginSteps) {
        this.marginSteps = Checks.positive("marginSteps", marginSteps);
    }

    /** Returns the initial state of a new holder; {@code lastRecord} is the newest record of the group on the log. */
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

    /** Returns the state after starting a change to {@code nextVersion}; the group must be idle. */
    public ChangeState begin(ChangeState state, long nextVersion) {
        Checks.that(state.phase() == ChangePhase.IDLE, "phase", state.phase(), "IDLE");
        Checks.that(nextVersion > state.mapVersion(), "nextVersion", nextVersion, "newer than the map in use");
        return advance(state.withChange(ChangePhase.LOADING, state.mapVersion(), nextVersion, 0));
    }

    /**
     * Returns the state after {@code reply} was received from {@code rank}. A reply with a higher fencing number fences
     * this holder; outdated replies and replies to other holders are ignored.
     */
    public ChangeState onReply(ChangeState state, int rank, RankReply reply) {
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
        ChangeState updated = state.withRank(rank, reply.state(), reply.presentStep());
        boolean refused = state.phase() == ChangePhase.ARMING && isRefusal(reply.code());
        return advance(refused ? abortChange(updated) : updated);
    }

    /**
     * Returns the state after {@code record} was read from the log; {@code tookEffect} is false if a newer lease
     * precedes it there.
     */
    public ChangeState onRecord(ChangeState state, MapRecord record, boolean tookEffect) {
        if (record.fencingNumber() != state.fencingNumber()) {
            return state;
        }
        if (!tookEffect) {
            return state.withPhase(ChangePhase.FENCED);
        }
        boolean isDecision = state.phase() == ChangePhase.COMMITTING
                && record(state).filter(record::equals).isPresent();
        ChangeState known = state.withRecorded(record);
        return advance(isDecision ? known.withPhase(ChangePhase.GOING) : known);
    }

    /** Returns the state after the current phase has timed out; a change that is not decided yet is aborted. */
    public ChangeState onTimeout(ChangeState state) {
        return switch (state.phase()) {
            case LOADING, ARMING, COMMITTING -> advance(abortChange(state));
            default -> state;
        };
    }

    /** Returns the order to send to {@code rank} now, or empty if this holder has been fenced. */
    public Optional<RankOrder> order(ChangeState state, int rank) {
        if (state.phase() == ChangePhase.FENCED) {
            return Optional.empty();
        }
        RankState known = state.ranks().get(rank);
        RankOrder phaseOrder = known == null ? null : phaseOrder(state, known);
        return Optional.of(phaseOrder != null ? phaseOrder : new RankOrder.Survey(state.fencingNumber()));
    }

    /** Returns the record to append to the log, or empty if there is none or it is known to be on the log. */
    public Optional<MapRecord> record(ChangeState state) {
        return switch (state.phase()) {
            case COMMITTING -> Optional.of(newRecord(state, MapRecord.Kind.COMMIT, state.nextVersion()));
            case GOING, JOINING ->
                state.any(rank -> !rank.isJoined()) && !lastRecordNamesAllRanks(state)
                        ? Optional.of(newRecord(state, MapRecord.Kind.ROSTER, state.nextVersion()))
                        : Optional.empty();
            case ABORTING, IDLE -> repairRecord(state);
            default -> Optional.empty();
        };
    }

    private static Optional<MapRecord> repairRecord(ChangeState state) {
        MapRecord last = state.recorded();
        boolean isCurrent = last != null && last.mapVersion() == state.mapVersion();
        return isCurrent ? Optional.empty() : Optional.of(newRecord(state, MapRecord.Kind.ABORT, state.mapVersion()));
    }

    private static MapRecord newRecord(ChangeState state, MapRecord.Kind kind, long version) {
        return new MapRecord(kind, state.fencingNumber(), version, state.incarnations());
    }

    /** Returns whether the last record was written by this holder and names the current incarnation of every rank. */
    private static boolean lastRecordNamesAllRanks(ChangeState state) {
        MapRecord last = state.recorded();
        return last != null
                && last.fencingNumber() == state.fencingNumber()
                && last.mapVersion() == state.nextVersion()
                && last.incarnations().equals(state.incarnations());
    }

    @SuppressWarnings("StatementSwitchToExpressionSwitch")
    private static @Nullable RankOrder phaseOrder(ChangeState state, RankState known) {
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
        if (known.isJoined() || !lastRecordNamesAllRanks(state)) {
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
            case SURVEYING -> state.allReported() ? resolve(state) : state;
            case LOADING, ARMING, COMMITTING -> advanceChange(state);
            case GOING ->
                state.all(rank -> rank.runs(state.nextVersion()))
                        ? state.withChange(ChangePhase.IDLE, state.nextVersion(), state.nextVersion(), 0)
                        : state;
            case ABORTING -> state.all(rank -> !rank.isJoined() || isEnded(state, rank)) ? closeChange(state) : state;
            case JOINING, IDLE -> closeChange(state);
            case FENCED -> state;
        };
    }

    private ChangeState advanceChange(ChangeState state) {
        if (state.any(rank -> !rank.isJoined())) {
            return advance(abortChange(state));
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

    /**
     * Aborts the open change. If a commit may have been appended, the newest record is unknown until another one is
     * read.
     */
    private static ChangeState abortChange(ChangeState state) {
        boolean inDoubt = state.phase() == ChangePhase.COMMITTING;
        ChangeState aborting = state.withPhase(ChangePhase.ABORTING);
        return inDoubt ? aborting.withRecorded(null) : aborting;
    }

    /**
     * Closes the change on the current map: the group is idle if every rank has joined; otherwise missing ranks must
     * join.
     */
    private static ChangeState closeChange(ChangeState state) {
        boolean allJoined = state.all(RankState::isJoined);
        ChangePhase phase = allJoined ? ChangePhase.IDLE : ChangePhase.JOINING;
        return state.withChange(phase, state.mapVersion(), state.mapVersion(), 0);
    }

    private static boolean isEnded(ChangeState state, RankState rank) {
        return rank.runs(state.mapVersion()) && rank.endedVersion() >= state.nextVersion();
    }

    static boolean isRefusal(OrderCode code) {
        return code == OrderCode.STEP_PASSED || code == OrderCode.ENDED || code == OrderCode.OTHER_CHANGE;
    }

    /** Resolves a change that an earlier holder left open, from the states that all ranks reported to this holder. */
    private ChangeState resolve(ChangeState state) {
        Optional<RankState> going = first(state, RankMode.GOING);
        if (going.isPresent()) {
            return advance(reopenChange(state, ChangePhase.GOING, going.get()));
        }
        Optional<RankState> armed = first(state, RankMode.ARMED);
        if (armed.isPresent()) {
            boolean reached = state.any(rank -> rank.runs(armed.get().nextVersion()));
            boolean go = reached || isCommitted(state, armed.get().nextVersion());
            return advance(reopenChange(state, go ? ChangePhase.GOING : ChangePhase.ABORTING, armed.get()));
        }
        long version = first(state, RankMode.RUNNING).map(RankState::mapVersion).orElse(state.mapVersion());
        return closeChange(state.withChange(ChangePhase.JOINING, version, version, 0));
    }

    private static ChangeState reopenChange(ChangeState state, ChangePhase phase, RankState rank) {
        return state.withChange(phase, rank.mapVersion(), rank.nextVersion(), rank.switchStep());
    }

    /** Returns whether the log commits {@code version} and every rank named in the record is still armed for it. */
    private static boolean isCommitted(ChangeState state, long version) {
        MapRecord last = state.recorded();
        return last != null
                && last.kind() == MapRecord.Kind.COMMIT
                && last.mapVersion() == version
                && last.incarnations().equals(state.incarnations())
                && state.all(rank -> rank.isArmedFor(version));
    }

    private static Optional<RankState> first(ChangeState state, RankMode mode) {
        return state.reported().stream().filter(rank -> rank.mode() == mode).findFirst();
    }
}
