package org.jasminehub.core.experts;

/**
 * One change of a layer: the expert in {@code source} is also put, or moved, into {@code target}.
 *
 * @param source the slot of the slowest rank
 * @param target the slot of another rank
 * @param swap whether the target's expert takes the source's slot; otherwise the source keeps its expert
 * @param reliefMillis by how much the slowest rank's time falls below its old value
 */
record SlotChange(int source, int target, boolean swap, double reliefMillis) {
    int moves() {
        return swap ? 2 : 1;
    }

    double reliefPerMove() {
        return reliefMillis / moves();
    }
}
