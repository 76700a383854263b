package org.jasminehub.core.experts;

/**
 * Consecutive changes of one layer that are taken or left together.
 *
 * @param layer the layer
 * @param end the number of changes of the layer's chain up to the end of this part
 * @param moves how many experts the part loads
 * @param gainMillis by how much it shortens a step
 */
record LayerPart(int layer, int end, int moves, double gainMillis) {
    double gainPerMove() {
        return gainMillis / moves;
    }
}
