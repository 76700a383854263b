package org.jasminehub.gateway.experts;

import org.jasminehub.core.experts.placement.RankOrder;
import org.jasminehub.core.experts.placement.RankView;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RankStatus;
import org.jspecify.annotations.Nullable;

/** Tracks the last reported status of one rank and the order that was sent to it. */
final class TrackedRank {
    /** Time without a status after which the agent counts as silent: two of its heartbeats. */
    private static final long AGENT_SILENT_MILLIS = 500;

    /** Pause after a refused order; an agent reads a new report from its engine in about this time. */
    private static final long REFUSAL_BACKOFF_MILLIS = 100;

    /** How long an accepted hold may be missing from the reports: about two reports of an agent. */
    private static final long HOLD_REPORT_MILLIS = 250;

    private final int rank;
    private @Nullable RankMessenger connection;
    private RankStatus status = RankStatus.getDefaultInstance();
    private long lastStatusMillis;
    private long lastAgentStatusMillis = Long.MIN_VALUE / 2;
    private @Nullable RankMessenger openOrderMessenger;
    private @Nullable RankOrder openOrder;
    private long openOrderId;
    private long openOrderMillis;
    private long acceptedPrepareVersion;
    private long lastRefusalMillis = Long.MIN_VALUE / 2;
    private long acceptedHoldStep;
    private long holdAcceptedMillis;

    TrackedRank(int rank) {
        this.rank = rank;
    }

    int rank() {
        return rank;
    }

    RankStatus status() {
        return status;
    }

    long lastStatusMillis() {
        return lastStatusMillis;
    }

    /**
     * Records a status of the rank.
     *
     * @param isDirect whether the status was read from the engine without its agent. Such a status is older than the
     *     agent's, so it is used only while the agent is silent.
     * @return how often the rank's requests chose each expert since the previous report, null if unknown
     */
    long @Nullable [] onStatus(RankMessenger from, RankStatus next, boolean isDirect, long nowMillis) {
        if (isDirect && nowMillis - lastAgentStatusMillis <= AGENT_SILENT_MILLIS) {
            return null;
        }
        boolean isRestarted =
                next.getEpoch() != status.getEpoch() || next.getStartedWallMillis() != status.getStartedWallMillis();
        if (isRestarted) {
            acceptedPrepareVersion = 0;
            acceptedHoldStep = 0;
        }
        if (!isDirect) {
            lastAgentStatusMillis = nowMillis;
        }
        connection = from;
        lastStatusMillis = nowMillis;
        long[] chosen = new long[next.getExpertIncrementsCount()];
        for (int index = 0; index < chosen.length; index++) {
            chosen[index] = next.getExpertIncrements(index);
        }
        status = chosen.length > 0 ? next.toBuilder().clearExpertIncrements().build() : next;
        return chosen.length > 0 ? chosen : null;
    }

    /**
     * Returns the last reported state, including a hold that the engine has accepted since that report. The other ranks
     * must be armed before the held step is due, and the next report may arrive too late for that.
     */
    RankView view(long nowMillis) {
        RankView reported = RankMessageConverter.view(status);
        boolean isReported = reported.heldStep() > 0 || reported.step() >= acceptedHoldStep;
        return isReported || nowMillis - holdAcceptedMillis > HOLD_REPORT_MILLIS
                ? reported
                : reported.withHeldStep(acceptedHoldStep);
    }

    void onHoldAccepted(long step, long nowMillis) {
        acceptedHoldStep = step;
        holdAcceptedMillis = nowMillis;
    }

    void onReleaseAccepted() {
        acceptedHoldStep = 0;
    }

    /** Returns whether the rank is armed or holds a step, or may do so because of an order without a reply. */
    boolean isInChange() {
        RankOrder order = openOrder;
        boolean mayBeChanging =
                order != null && (order.kind() == RankOrder.Kind.HOLD || order.kind() == RankOrder.Kind.ARM);
        boolean isHeld = status.getHeldStep() > 0 || acceptedHoldStep > status.getStep();
        return mayBeChanging || isHeld || status.getArmedVersion() > 0;
    }

    void onPrepareAccepted(long version) {
        acceptedPrepareVersion = Math.max(acceptedPrepareVersion, version);
    }

    /** Records that an order was refused; the next order is delayed until a newer status can have arrived. */
    void onRefused(long nowMillis) {
        lastRefusalMillis = nowMillis;
    }

    /** Returns the newest map version whose prepare order the rank has accepted, as far as this instance knows. */
    long acceptedPrepareVersion() {
        return acceptedPrepareVersion;
    }

    /** Returns whether {@code order} can be sent now: no order is open, and its map is not being copied yet. */
    boolean canSend(RankOrder order, long nowMillis, long retryMillis) {
        boolean isCopying = order.kind() == RankOrder.Kind.PREPARE && acceptedPrepareVersion == order.version();
        boolean hasOpenOrder = openOrder != null && nowMillis - openOrderMillis < retryMillis;
        boolean isBackingOff = nowMillis - lastRefusalMillis < REFUSAL_BACKOFF_MILLIS;
        return connection != null && !isCopying && !hasOpenOrder && !isBackingOff;
    }

    /** Sends an order through {@code via}, or to the sender of the last used status if {@code via} is null. */
    void send(RankOrder order, long id, long nowMillis, PeerEnvelope message, @Nullable RankMessenger via) {
        openOrder = order;
        openOrderId = id;
        openOrderMillis = nowMillis;
        openOrderMessenger = via == null ? connection : via;
        if (openOrderMessenger != null) {
            openOrderMessenger.send(message);
        }
    }

    /** Closes and returns the open order if {@code id} is its id and it was sent to {@code from}, else returns null. */
    @Nullable
    RankOrder closeOrder(RankMessenger from, long id) {
        if (openOrderMessenger != from || openOrderId != id || openOrder == null) {
            return null;
        }
        RankOrder order = openOrder;
        openOrder = null;
        return order;
    }
}
