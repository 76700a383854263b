package org.jasminehub.core.experts;

/**
 * One change of a layer: replicates or moves the expert in slot {@code source} to slot {@code target}.
 *
 * @param source a slot of the slowest rank
 * @param target a slot of another rank
 * @param swap whether the two slots exchange their experts; otherwise the source keeps its expert
 * @param reliefMillis the reduction of the slowest rank's time
 */
record SlotChange(int source, int target, boolean swap, double reliefMillis) {
    int moves() {
        return swap ? 2 : 1;
    }

    double reliefPerMove() {
        return reliefMillis / moves();
    }
}
