package org.jasminehub.core.experts.placement;

/**
 * One change of a layer that relieves its most loaded rank.
 *
 * @param source the most loaded rank
 * @param expert an expert that it holds
 * @param target the rank that receives a replica of the expert, or {@link LayerLoad#NONE}
 * @param displaced the expert that is removed from the target, or {@link LayerLoad#NONE}
 * @param returned the displaced expert if the source receives it in exchange, or {@link LayerLoad#NONE}
 * @param leavesSource whether the expert is removed from the source
 * @param gain the reduction of the layer's smooth skew
 */
record PlacementMove(
        int source, int expert, int target, int displaced, int returned, boolean leavesSource, double gain) {
    /** The number of copies assumed for a change without any copy; less than 1 so that such changes are preferred. */
    private static final double MIN_COUNTED_COPIES = 0.1;

    /** Removes one of several replicas from the source. */
    static PlacementMove drop(int source, int expert) {
        return new PlacementMove(source, expert, LayerLoad.NONE, LayerLoad.NONE, LayerLoad.NONE, true, 0);
    }

    /** Adds a replica on another rank, which replaces {@code displaced} unless that is {@link LayerLoad#NONE}. */
    static PlacementMove replicate(int source, int expert, int target, int displaced) {
        return new PlacementMove(source, expert, target, displaced, LayerLoad.NONE, false, 0);
    }

    /** Moves the replica of the source to another rank. */
    static PlacementMove move(int source, int expert, int target) {
        return new PlacementMove(source, expert, target, LayerLoad.NONE, LayerLoad.NONE, true, 0);
    }

    /** Exchanges experts between two ranks. */
    static PlacementMove exchange(int source, int expert, int target, int displaced) {
        return new PlacementMove(source, expert, target, displaced, displaced, true, 0);
    }

    int copies() {
        return (target == LayerLoad.NONE ? 0 : 1) + (returned == LayerLoad.NONE ? 0 : 1);
    }

    double gainPerCopy() {
        return gain / Math.max(MIN_COUNTED_COPIES, copies());
    }

    PlacementMove withGain(double newGain) {
        return new PlacementMove(source, expert, target, displaced, returned, leavesSource, newGain);
    }

    void apply(LayerLoad load) {
        if (target != LayerLoad.NONE) {
            load.add(target, expert);
        }
        if (returned != LayerLoad.NONE) {
            load.add(source, returned);
        }
        if (leavesSource) {
            load.remove(source, expert);
        }
        if (displaced != LayerLoad.NONE) {
            load.remove(target, displaced);
        }
    }

    void undo(LayerLoad load) {
        if (displaced != LayerLoad.NONE) {
            load.add(target, displaced);
        }
        if (leavesSource) {
            load.add(source, expert);
        }
        if (returned != LayerLoad.NONE) {
            load.remove(source, returned);
        }
        if (target != LayerLoad.NONE) {
            load.remove(target, expert);
        }
    }
}
