package org.jasminehub.core.experts.change;

import java.util.Optional;

/**
 * The state machine of one rank in a map change, as pure functions. The agent stores the state and controls the engine
 * accordingly.
 *
 * <pre>{@code
 * RankReply reply = RankMachine.apply(state, order, engine.presentStep());
 * state = reply.state();
 * }</pre>
 *
 * <p>Engines that do not check fencing numbers are reached only through their agent, so the check in this class
 * protects them as well.
 */
public final class RankMachine {
    private RankMachine() {}

    /**
     * Applies {@code order} to a rank that has reached {@code presentStep}; the reply contains the new state.
     *
     * <p>Must be atomic with respect to {@link #begin}: no step may begin between reading {@code presentStep} and
     * storing the new state.
     */
    public static RankReply apply(RankState state, RankOrder order, long presentStep) {
        if (order.fencingNumber() < state.fencingNumber()) {
            return new RankReply(order.fencingNumber(), OrderCode.FENCED, state, presentStep);
        }
        RankState updated = state.withFencingNumber(order.fencingNumber());
        if (order instanceof RankOrder.Load load) {
            return load(updated, load, presentStep);
        }
        if (order instanceof RankOrder.Arm arm) {
            return arm(updated, arm, presentStep);
        }
        if (order instanceof RankOrder.Go go) {
            return go(updated, go, presentStep);
        }
        if (order instanceof RankOrder.Abort abort) {
            return abort(updated, abort, presentStep);
        }
        if (order instanceof RankOrder.Join join) {
            return join(updated, join, presentStep);
        }
        return reply(order, OrderCode.ACCEPTED, updated, presentStep);
    }

    /**
     * Returns the state in which the rank runs {@code step}, or empty if it must wait. The step runs on the
     * {@code mapVersion} of the returned state.
     */
    public static Optional<RankState> begin(RankState state, long step) {
        return switch (state.mode()) {
            case OUT -> Optional.empty();
            case RUNNING -> Optional.of(state);
            case ARMED -> step >= state.switchStep() ? Optional.empty() : Optional.of(state);
            case GOING -> Optional.of(step >= state.switchStep() ? switched(state) : state);
        };
    }

    /** Returns the state after the experts of {@code version} have been loaded into the rank's memory. */
    public static RankState loaded(RankState state, long version) {
        return state.loadedVersion() >= version ? state : state.withLoaded(version);
    }

    private static RankState switched(RankState state) {
        return state.withMap(RankMode.RUNNING, state.nextVersion(), state.nextVersion(), 0);
    }

    private static RankReply load(RankState state, RankOrder.Load order, long presentStep) {
        if (order.incarnation() != state.incarnation()) {
            return reply(order, OrderCode.OTHER_INCARNATION, state, presentStep);
        }
        boolean loaded = state.loadedVersion() >= order.nextVersion();
        return reply(order, loaded ? OrderCode.ACCEPTED : OrderCode.NOT_LOADED, state, presentStep);
    }

    private static RankReply arm(RankState state, RankOrder.Arm order, long presentStep) {
        OrderCode code = checkArm(state, order, presentStep);
        boolean repeated = state.nextVersion() == order.nextVersion();
        if (code != OrderCode.ACCEPTED || repeated) {
            return reply(order, code, state, presentStep);
        }
        RankState armed = state.withMap(RankMode.ARMED, state.mapVersion(), order.nextVersion(), order.switchStep());
        return reply(order, OrderCode.ACCEPTED, armed, presentStep);
    }

    private static OrderCode checkArm(RankState state, RankOrder.Arm order, long presentStep) {
        if (order.incarnation() != state.incarnation()) {
            return OrderCode.OTHER_INCARNATION;
        }
        if (!state.isJoined()) {
            return OrderCode.NOT_JOINED;
        }
        if (order.nextVersion() <= state.endedVersion()) {
            return OrderCode.ENDED;
        }
        if (state.mode() != RankMode.RUNNING) {
            return state.nextVersion() == order.nextVersion() ? OrderCode.ACCEPTED : OrderCode.OTHER_CHANGE;
        }
        if (state.mapVersion() != order.mapVersion()) {
            return OrderCode.OTHER_CHANGE;
        }
        if (state.loadedVersion() < order.nextVersion()) {
            return OrderCode.NOT_LOADED;
        }
        return order.switchStep() <= presentStep ? OrderCode.STEP_PASSED : OrderCode.ACCEPTED;
    }

    private static RankReply go(RankState state, RankOrder.Go order, long presentStep) {
        if (order.incarnation() != state.incarnation()) {
            return reply(order, OrderCode.OTHER_INCARNATION, state, presentStep);
        }
        if (!state.isJoined()) {
            return reply(order, OrderCode.NOT_JOINED, state, presentStep);
        }
        if (state.nextVersion() != order.nextVersion()) {
            return reply(order, OrderCode.OTHER_CHANGE, state, presentStep);
        }
        if (state.mode() != RankMode.ARMED) {
            return reply(order, OrderCode.ACCEPTED, state, presentStep);
        }
        RankState going = state.withMap(RankMode.GOING, state.mapVersion(), state.nextVersion(), state.switchStep());
        return reply(order, OrderCode.ACCEPTED, going, presentStep);
    }

    private static RankReply abort(RankState state, RankOrder.Abort order, long presentStep) {
        if (order.incarnation() != state.incarnation()) {
            return reply(order, OrderCode.OTHER_INCARNATION, state, presentStep);
        }
        if (!state.isJoined()) {
            return reply(order, OrderCode.NOT_JOINED, state, presentStep);
        }
        boolean reached = state.mapVersion() >= order.nextVersion();
        if (state.mode() == RankMode.GOING || reached) {
            return reply(order, OrderCode.OTHER_CHANGE, state, presentStep);
        }
        RankState ended = state.endedVersion() >= order.nextVersion() ? state : state.withEnded(order.nextVersion());
        if (ended.mode() == RankMode.ARMED && ended.nextVersion() <= order.nextVersion()) {
            ended = ended.withMap(RankMode.RUNNING, ended.mapVersion(), ended.mapVersion(), 0);
        }
        return reply(order, OrderCode.ACCEPTED, ended, presentStep);
    }

    private static RankReply join(RankState state, RankOrder.Join order, long presentStep) {
        if (order.incarnation() != state.incarnation()) {
            return reply(order, OrderCode.OTHER_INCARNATION, state, presentStep);
        }
        if (state.isJoined()) {
            boolean repeated = state.nextVersion() == order.nextVersion();
            return reply(order, repeated ? OrderCode.ACCEPTED : OrderCode.OTHER_CHANGE, state, presentStep);
        }
        RankMode mode = order.mapVersion() == order.nextVersion() ? RankMode.RUNNING : RankMode.GOING;
        long step = mode == RankMode.GOING ? order.switchStep() : 0;
        RankState joined = state.withMap(mode, order.mapVersion(), order.nextVersion(), step);
        return reply(order, OrderCode.ACCEPTED, joined, presentStep);
    }

    private static RankReply reply(RankOrder order, OrderCode code, RankState state, long presentStep) {
        return new RankReply(order.fencingNumber(), code, state, presentStep);
    }
}
