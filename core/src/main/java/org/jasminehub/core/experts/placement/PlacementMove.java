package org.jasminehub.core.experts.placement;

/**
 * One change of a layer: an expert of the hot rank also goes to another rank.
 *
 * @param source the hot rank
 * @param expert its expert
 * @param target the rank that gets a replica
 * @param displaced the expert that makes room there, or {@link LayerLoad#NONE}
 * @param returned the displaced expert where the hot rank takes it in exchange, or {@link LayerLoad#NONE}
 * @param gain by how much the layer's smooth skew falls
 */
record PlacementMove(int source, int expert, int target, int displaced, int returned, double gain) {
    int copies() {
        return returned == LayerLoad.NONE ? 1 : 2;
    }

    PlacementMove withGain(double newGain) {
        return new PlacementMove(source, expert, target, displaced, returned, newGain);
    }

    void apply(LayerLoad load) {
        load.add(target, expert);
        if (returned != LayerLoad.NONE) {
            load.add(source, returned);
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
        if (returned != LayerLoad.NONE) {
            load.add(source, expert);
            load.remove(source, returned);
        }
        load.remove(target, expert);
    }
}
