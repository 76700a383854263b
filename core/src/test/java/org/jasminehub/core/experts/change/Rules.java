package org.jasminehub.core.experts.change;

import java.util.Optional;

/**
 * The protocol rules of a modelled group. Each fault replaces one of the correct rules.
 *
 * @param begin how a rank begins a step
 * @param apply how a rank applies an order
 * @param report how a holder interprets a reply
 * @param ignoresStaleRecords whether records of an old lease have no effect
 */
record Rules(Begin begin, Apply apply, Report report, boolean ignoresStaleRecords) {
    static final Rules SOUND = new Rules(RankMachine::begin, RankMachine::apply, reply -> reply, true);

    private static final long REVISIONS = 1000;

    /** Begins a step. */
    @FunctionalInterface
    interface Begin {
        Optional<RankState> begin(RankState rank, long step);
    }

    /** Applies an order. */
    @FunctionalInterface
    interface Apply {
        RankReply apply(RankState rank, RankOrder order, long presentStep);
    }

    /** Interprets a reply. */
    @FunctionalInterface
    interface Report {
        RankReply read(RankReply reply);
    }

    /** An armed rank does not stop at the switch step. */
    static Rules armDoesNotHold() {
        Begin runsOn =
                (rank, step) -> rank.mode() == RankMode.ARMED ? Optional.of(rank) : RankMachine.begin(rank, step);
        return new Rules(runsOn, SOUND.apply(), SOUND.report(), true);
    }

    /** A rank accepts an arm order whose switch step has passed, and stops only at the next step. */
    static Rules lateArmIsAccepted() {
        Apply apply = (rank, order, step) -> RankMachine.apply(rank, order, Math.min(step, 0));
        return new Rules(SOUND.begin(), apply, SOUND.report(), true);
    }

    /** Ranks do not check fencing numbers. */
    static Rules noFencing() {
        Apply apply =
                (rank, order, step) -> RankMachine.apply(rank.withFencingNumber(order.fencingNumber()), order, step);
        return new Rules(SOUND.begin(), apply, SOUND.report(), true);
    }

    /** Records and orders name no incarnations; reports can still be put in order. */
    static Rules incarnationsAreOmitted() {
        Apply apply = (rank, order, step) -> RankMachine.apply(rank, withIncarnation(order, rank.incarnation()), step);
        return new Rules(SOUND.begin(), apply, Rules::withoutIncarnation, true);
    }

    /** Readers of the log apply records that were written under an old lease. */
    static Rules staleRecordsAreApplied() {
        return new Rules(SOUND.begin(), SOUND.apply(), SOUND.report(), false);
    }

    private static RankReply withoutIncarnation(RankReply reply) {
        RankState state = reply.state();
        RankState withoutIncarnation = new RankState(
                1,
                state.incarnation() * REVISIONS + state.revision(),
                state.fencingNumber(),
                state.mode(),
                state.mapVersion(),
                state.nextVersion(),
                state.switchStep(),
                state.loadedVersion(),
                state.endedVersion());
        return new RankReply(reply.fencingNumber(), reply.code(), withoutIncarnation, reply.presentStep());
    }

    private static RankOrder withIncarnation(RankOrder order, long incarnation) {
        long number = order.fencingNumber();
        if (order instanceof RankOrder.Arm arm) {
            return new RankOrder.Arm(number, incarnation, arm.mapVersion(), arm.nextVersion(), arm.switchStep());
        }
        if (order instanceof RankOrder.Go go) {
            return new RankOrder.Go(number, incarnation, go.nextVersion());
        }
        if (order instanceof RankOrder.Abort abort) {
            return new RankOrder.Abort(number, incarnation, abort.nextVersion());
        }
        if (order instanceof RankOrder.Join join) {
            return new RankOrder.Join(number, incarnation, join.mapVersion(), join.nextVersion(), join.switchStep());
        }
        return order;
    }
}
