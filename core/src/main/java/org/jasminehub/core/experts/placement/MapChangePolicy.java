package org.jasminehub.core.experts.placement;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Determines the next orders that make all ranks of a group switch to a new map at the same step.
 *
 * <p>A change proceeds as follows: every rank prepares the map; one rank holds a future step; every rank arms the map
 * for that step; the step is released once every rank is armed. A held step cannot begin, so no rank can switch before
 * all ranks are armed.
 *
 * <p>Orders may be lost, repeated or delayed, and several coordinators may be active at once. The decision therefore
 * depends only on the reported states of the ranks, and a change that has been armed is always completed if possible.
 * An armed map is disarmed only if some rank has prepared a newer one, because then the armed one can no longer be
 * armed on every rank.
 *
 * <p>Stateless and thread-safe.
 */
public final class MapChangePolicy {
    private MapChangePolicy() {}

    /**
     * Returns the orders to send now; empty if there is nothing to do, the group is not open, or the ranks disagree
     * about the epoch.
     *
     * @param views the last reported state of each rank of the group
     * @param wantedVersion the version of the map that this coordinator wants to change to, 0 if none
     * @param marginSteps how many steps ahead of the newest step to hold; must leave enough time for the other orders
     *     to arrive
     */
    public static List<RankOrder> nextOrders(List<RankView> views, long wantedVersion, long marginSteps) {
        if (views.isEmpty() || !areOpenInSameEpoch(views)) {
            return List.of();
        }
        RankView armed = newestArmed(views);
        if (armed != null) {
            return completeArmed(views, armed);
        }
        long newestMap = views.stream().mapToLong(RankView::mapVersion).max().orElse(0);
        boolean isUniform = views.stream().allMatch(view -> view.mapVersion() == newestMap);
        if (!isUniform) {
            // All ranks switch at the same step, so the views with an older map are outdated.
            return List.of();
        }
        long prepared = views.get(0).preparedVersion();
        boolean isPrepared =
                prepared > newestMap && views.stream().allMatch(view -> view.preparedVersion() == prepared);
        if (isPrepared) {
            return armOrHold(views, prepared, marginSteps);
        }
        if (wantedVersion <= newestMap) {
            return List.of();
        }
        return views.stream()
                .filter(view -> view.preparedVersion() != wantedVersion)
                .map(view -> new RankOrder(view.rank(), RankOrder.Kind.PREPARE, wantedVersion, 0))
                .toList();
    }

    /** Returns whether any rank holds a step; only a completed change releases it. */
    public static boolean hasHeldStep(List<RankView> views) {
        return views.stream().anyMatch(view -> view.heldStep() > 0);
    }

    private static boolean areOpenInSameEpoch(List<RankView> views) {
        long epoch = views.get(0).epoch();
        return views.stream().allMatch(view -> view.epoch() == epoch && view.isOpen());
    }

    private static @Nullable RankView newestArmed(List<RankView> views) {
        RankView newest = null;
        for (RankView view : views) {
            if (view.armedVersion() > 0 && (newest == null || view.armedVersion() > newest.armedVersion())) {
                newest = view;
            }
        }
        return newest;
    }

    private static List<RankOrder> completeArmed(List<RankView> views, RankView armed) {
        long version = armed.armedVersion();
        long step = armed.armedStep();
        List<RankView> others = views.stream()
                .filter(view -> view.armedVersion() != version || view.armedStep() != step)
                .toList();
        if (others.isEmpty()) {
            return views.stream()
                    .filter(view -> view.heldStep() > 0)
                    .map(view -> new RankOrder(view.rank(), RankOrder.Kind.RELEASE, 0, view.heldStep()))
                    .toList();
        }
        boolean isStale = others.stream().anyMatch(view -> view.mapVersion() >= version);
        if (isStale) {
            return List.of();
        }
        boolean canComplete =
                others.stream().allMatch(view -> view.armedVersion() == 0 && view.preparedVersion() == version);
        if (canComplete) {
            return others.stream()
                    .map(view -> new RankOrder(view.rank(), RankOrder.Kind.ARM, version, step))
                    .toList();
        }
        return disarmSuperseded(views, version);
    }

    /**
     * Called when {@code version} cannot be armed on every rank now. Disarms older armed maps, and {@code version}
     * itself only if some rank has prepared a newer map.
     */
    private static List<RankOrder> disarmSuperseded(List<RankView> views, long version) {
        List<RankOrder> orders = new ArrayList<>();
        boolean isSuperseded = views.stream().anyMatch(view -> view.preparedVersion() > version);
        for (RankView view : views) {
            boolean isOlder = view.armedVersion() > 0 && view.armedVersion() < version;
            if (isOlder || (isSuperseded && view.armedVersion() == version)) {
                orders.add(new RankOrder(view.rank(), RankOrder.Kind.DISARM, view.armedVersion(), 0));
            }
        }
        return orders;
    }

    private static List<RankOrder> armOrHold(List<RankView> views, long version, long marginSteps) {
        long held = views.stream()
                .mapToLong(RankView::heldStep)
                .filter(step -> step > 0)
                .min()
                .orElse(0);
        if (held == 0) {
            long newest = views.stream().mapToLong(RankView::step).max().orElse(0);
            return List.of(new RankOrder(views.get(0).rank(), RankOrder.Kind.HOLD, 0, newest + marginSteps));
        }
        return views.stream()
                .map(view -> new RankOrder(view.rank(), RankOrder.Kind.ARM, version, held))
                .toList();
    }
}
