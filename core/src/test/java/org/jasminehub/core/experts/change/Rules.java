package org.jasminehub.core.experts.change;

import java.util.Optional;

/**
 * The rules that a modelled group follows; a fault replaces one of them.
 *
 * @param begin what a rank does when it comes to a step
 * @param apply how a rank takes an order
 * @param report how a holder reads a reply
 * @param voidsStaleRecords whether a record under an old lease has no effect
 */
record Rules(Begin begin, Apply apply, Report report, boolean voidsStaleRecords) {
    static final Rules SOUND = new Rules(RankMachine::begin, RankMachine::apply, reply -> reply, true);

    private static final long REVISIONS = 1000;

    /** Begins a step. */
    @FunctionalInterface
    interface Begin {
        Optional<RankState> begin(RankState rank, long step);
    }

    /** Takes an order. */
    @FunctionalInterface
    interface Apply {
        RankReply apply(RankState rank, RankOrder order, long presentStep);
    }

    /** Reads a reply. */
    @FunctionalInterface
    interface Report {
        RankReply read(RankReply reply);
    }

    /** An armed rank isn't stopped at the switch step. */
    static Rules armDoesNotHold() {
        Begin runsOn =
                (rank, step) -> rank.mode() == RankMode.ARMED ? Optional.of(rank) : RankMachine.begin(rank, step);
        return new Rules(runsOn, SOUND.apply(), SOUND.report(), true);
    }

    /** A rank takes an arm whose switch step has passed, and takes it to hold from the next step on. */
    static Rules lateArmIsTaken() {
        Apply apply = (rank, order, step) -> RankMachine.apply(rank, order, Math.min(step, 0));
        return new Rules(SOUND.begin(), apply, SOUND.report(), true);
    }

    /** Ranks don't compare fencing numbers. */
    static Rules noFencing() {
        Apply apply =
                (rank, order, step) -> RankMachine.apply(rank.withFencingNumber(order.fencingNumber()), order, step);
        return new Rules(SOUND.begin(), apply, SOUND.report(), true);
    }

    /** Neither records nor orders name incarnations; reports keep their order. */
    static Rules incarnationsNotNamed() {
        Apply apply = (rank, order, step) -> RankMachine.apply(rank, named(order, rank.incarnation()), step);
        return new Rules(SOUND.begin(), apply, Rules::nameless, true);
    }

    /** Readers of the log take records that were written under an old lease. */
    static Rules staleRecordsCount() {
        return new Rules(SOUND.begin(), SOUND.apply(), SOUND.report(), false);
    }

    private static RankReply nameless(RankReply reply) {
        RankState state = reply.state();
        RankState nameless = new RankState(
                1,
                state.incarnation() * REVISIONS + state.revision(),
                state.fencingNumber(),
                state.mode(),
                state.mapVersion(),
                state.nextVersion(),
                state.switchStep(),
                state.loadedVersion(),
                state.endedVersion());
        return new RankReply(reply.fencingNumber(), reply.code(), nameless, reply.presentStep());
    }

    private static RankOrder named(RankOrder order, long incarnation) {
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
