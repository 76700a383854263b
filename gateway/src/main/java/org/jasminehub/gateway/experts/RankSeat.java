package org.jasminehub.gateway.experts;

import org.jasminehub.core.experts.placement.RankOrder;
import org.jasminehub.core.experts.placement.RankView;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RankStatus;
import org.jspecify.annotations.Nullable;

/** One rank as its agent shows it, and the order that it has been given. */
final class RankSeat {
    /** Two heartbeats of an agent. */
    private static final long AGENT_SILENT_MILLIS = 500;

    /** About the time in which an agent reads its engine's report again. */
    private static final long REFUSED_PAUSE_MILLIS = 100;

    /** Two reports of an agent: by then its status shows a hold that the engine has accepted. */
    private static final long HOLD_SHOWN_MILLIS = 250;

    private final int rank;
    private final ExpertCounts counts = new ExpertCounts();
    private @Nullable RankMessenger connection;
    private RankStatus status = RankStatus.getDefaultInstance();
    private long heardMillis;
    private long agentHeardMillis = Long.MIN_VALUE / 2;
    private @Nullable RankMessenger openVia;
    private @Nullable RankOrder open;
    private long openId;
    private long openMillis;
    private long prepareTaken;
    private long refusedMillis = Long.MIN_VALUE / 2;
    private long heldStep;
    private long heldSinceMillis;

    RankSeat(int rank) {
        this.rank = rank;
    }

    int rank() {
        return rank;
    }

    RankStatus status() {
        return status;
    }

    long heardMillis() {
        return heardMillis;
    }

    /**
     * Takes what the rank says.
     *
     * @param isDirect whether it was read from afar. Such a report is older than the agent's, so it counts only while
     *     the agent is silent.
     * @return how often the rank's requests chose each expert since its last counts, null where that is not known
     */
    long @Nullable [] onStatus(RankMessenger from, RankStatus next, boolean isDirect, long nowMillis) {
        if (isDirect && nowMillis - agentHeardMillis <= AGENT_SILENT_MILLIS) {
            return null;
        }
        boolean isAnew =
                next.getEpoch() != status.getEpoch() || next.getStartedWallMillis() != status.getStartedWallMillis();
        if (isAnew) {
            prepareTaken = 0;
            heldStep = 0;
            counts.clear();
        }
        if (!isDirect) {
            agentHeardMillis = nowMillis;
        }
        connection = from;
        heardMillis = nowMillis;
        status = next;
        return next.getExpertCountsCount() > 0 ? counts.takeNew(next.getExpertCountsList()) : null;
    }

    /**
     * Returns what the rank said last, with a hold that its engine has accepted since: other ranks must be armed before
     * the step is due, and the next status comes later than that.
     */
    RankView view(long nowMillis) {
        RankView said = RankOrders.view(status);
        boolean isShown = said.heldStep() > 0 || said.step() >= heldStep;
        return isShown || nowMillis - heldSinceMillis > HOLD_SHOWN_MILLIS ? said : said.withHeldStep(heldStep);
    }

    void onHoldTaken(long step, long nowMillis) {
        heldStep = step;
        heldSinceMillis = nowMillis;
    }

    void onReleaseTaken() {
        heldStep = 0;
    }

    /** Returns whether the rank is armed or holds a step by its last word, or may since an order that is open. */
    boolean isInChange() {
        RankOrder given = open;
        boolean mayBe = given != null && (given.kind() == RankOrder.Kind.HOLD || given.kind() == RankOrder.Kind.ARM);
        boolean isHeld = status.getHeldStep() > 0 || heldStep > status.getStep();
        return mayBe || isHeld || status.getArmedVersion() > 0;
    }

    void onPrepareTaken(long version) {
        prepareTaken = Math.max(prepareTaken, version);
    }

    /** Notes that an order was refused; the next one waits for newer news of the rank. */
    void onRefused(long nowMillis) {
        refusedMillis = nowMillis;
    }

    /** Returns the newest version whose copy the rank has begun, as far as known here. */
    long newestPrepared() {
        return prepareTaken;
    }

    /** Returns whether {@code order} shall be given now: not while one is open, and a copy is not begun twice. */
    boolean mayOrder(RankOrder order, long nowMillis, long retryMillis) {
        boolean isCopying = order.kind() == RankOrder.Kind.PREPARE && prepareTaken == order.version();
        boolean isOpen = open != null && nowMillis - openMillis < retryMillis;
        boolean isRefused = nowMillis - refusedMillis < REFUSED_PAUSE_MILLIS;
        return connection != null && !isCopying && !isOpen && !isRefused;
    }

    /** Gives an order through {@code via}, or through whatever speaks for the rank where that is null. */
    void send(RankOrder order, long id, long nowMillis, PeerEnvelope message, @Nullable RankMessenger via) {
        open = order;
        openId = id;
        openMillis = nowMillis;
        openVia = via == null ? connection : via;
        if (openVia != null) {
            openVia.send(message);
        }
    }

    /** Returns the open order if {@code id} is its, and closes it; null otherwise. */
    @Nullable
    RankOrder takeOrder(RankMessenger from, long id) {
        if (openVia != from || openId != id || open == null) {
            return null;
        }
        RankOrder order = open;
        open = null;
        return order;
    }
}
