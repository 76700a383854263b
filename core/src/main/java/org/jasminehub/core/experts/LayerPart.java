package org.jasminehub.core.experts;

/**
 * Consecutive changes of one layer that are applied together or not at all.
 *
 * @param layer the layer
 * @param end the number of changes in the layer's chain up to and including this part
 * @param moves the number of experts to load
 * @param gainMillis the reduction of the step time
 */
record LayerPart(int layer, int end, int moves, double gainMillis) {
    double gainPerMove() {
        return gainMillis / moves;
    }
}
