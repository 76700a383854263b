package org.jasminehub.core.experts.placement;

/**
 * What one rank of a group last said of its maps; 0 stands for none in every version and step.
 *
 * @param rank its number
 * @param epoch the group's epoch as the rank knows it
 * @param isOpen whether the group takes work
 * @param step the last step that was begun
 * @param mapVersion the map in use
 * @param preparedVersion the map whose copy is complete
 * @param armedVersion the map that takes force as {@code armedStep} begins
 * @param armedStep that step
 * @param heldStep the step that does not begin before it is released
 */
public record RankView(
        int rank,
        long epoch,
        boolean isOpen,
        long step,
        long mapVersion,
        long preparedVersion,
        long armedVersion,
        long armedStep,
        long heldStep) {
    /** Returns the same view with {@code step} held. */
    public RankView withHeldStep(long step) {
        return new RankView(rank, epoch, isOpen, this.step, mapVersion, preparedVersion, armedVersion, armedStep, step);
    }
}
