package org.jasminehub.core.experts.placement;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decides the next orders that bring all ranks of a group to the same new map at the same step.
 *
 * <p>The order of a change: every rank prepares the map; one rank holds a step ahead; every rank arms the map for that
 * step; the step is released once every rank is armed. A held step cannot begin, so no rank can switch before all of
 * them will. Orders may be lost, repeated or carried out late, and coordinators may change or overlap; the decision
 * depends on nothing but what the ranks say, and it only ever completes a change that has been armed. It takes an armed
 * map back only when a newer one has been prepared somewhere, since the armed one can then never be complete.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class MapChangePolicy {
    private MapChangePolicy() {}

    /**
     * Returns the orders that are due now, none where the ranks are in order or disagree about the epoch.
     *
     * @param views what each rank said last, all ranks of the group
     * @param wantedVersion the map that this coordinator wants, 0 where it wants none
     * @param marginSteps how far ahead a step is held, enough for the other orders to arrive meanwhile
     */
    public static List<RankOrder> nextOrders(List<RankView> views, long wantedVersion, long marginSteps) {
        if (views.isEmpty() || !areInOneEpoch(views)) {
            return List.of();
        }
        RankView armed = newestArmed(views);
        if (armed != null) {
            return completeArmed(views, armed);
        }
        long newestMap = views.stream().mapToLong(RankView::mapVersion).max().orElse(0);
        boolean isUniform = views.stream().allMatch(view -> view.mapVersion() == newestMap);
        if (!isUniform) {
            // Ranks switch together; a view that differs is older than the others.
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

    /** Returns whether a step is held that only a complete change can release, so that one must be made. */
    public static boolean needsChange(List<RankView> views) {
        return views.stream().anyMatch(view -> view.heldStep() > 0);
    }

    private static boolean areInOneEpoch(List<RankView> views) {
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
        return takeBack(views, version);
    }

    /** Some rank has a newer map prepared, or lost the armed one: it can never be armed everywhere. */
    private static List<RankOrder> takeBack(List<RankView> views, long version) {
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
