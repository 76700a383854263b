package org.jasminehub.core.experts.placement;

/**
 * One change of a layer that relieves its hot rank.
 *
 * @param source the hot rank
 * @param expert its expert
 * @param target the rank that gets a replica, or {@link LayerLoad#NONE}
 * @param displaced the expert that makes room there, or {@link LayerLoad#NONE}
 * @param returned the displaced expert where the hot rank takes it in exchange, or {@link LayerLoad#NONE}
 * @param leavesSource whether the hot rank gives its replica up
 * @param gain by how much the layer's smooth skew falls
 */
record PlacementMove(
        int source, int expert, int target, int displaced, int returned, boolean leavesSource, double gain) {
    /** A change without a copy is weighed as a small part of one, so that it goes first. */
    private static final double FREE_COPIES = 0.1;

    /** The hot rank gives up one of several replicas. */
    static PlacementMove drop(int source, int expert) {
        return new PlacementMove(source, expert, LayerLoad.NONE, LayerLoad.NONE, LayerLoad.NONE, true, 0);
    }

    /** Another rank gets a replica too, in the place of {@code displaced} if that is an expert. */
    static PlacementMove replicate(int source, int expert, int target, int displaced) {
        return new PlacementMove(source, expert, target, displaced, LayerLoad.NONE, false, 0);
    }

    /** Another rank gets the replica of the hot rank. */
    static PlacementMove move(int source, int expert, int target) {
        return new PlacementMove(source, expert, target, LayerLoad.NONE, LayerLoad.NONE, true, 0);
    }

    /** Two ranks exchange experts. */
    static PlacementMove exchange(int source, int expert, int target, int displaced) {
        return new PlacementMove(source, expert, target, displaced, displaced, true, 0);
    }

    int copies() {
        return (target == LayerLoad.NONE ? 0 : 1) + (returned == LayerLoad.NONE ? 0 : 1);
    }

    double gainPerCopy() {
        return gain / Math.max(FREE_COPIES, copies());
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
