package org.jasminehub.core.experts.placement;

/**
 * The last reported state of one rank; in all versions and steps, 0 means none.
 *
 * @param rank the number of the rank
 * @param epoch the epoch of the group as known to the rank
 * @param isOpen whether the group accepts requests
 * @param step the last step that the rank has begun
 * @param mapVersion the version of the map in use
 * @param preparedVersion the version of the map whose experts have all been copied
 * @param armedVersion the version of the map to switch to when {@code armedStep} begins
 * @param armedStep the step at which the rank switches to the armed map
 * @param heldStep the step that must not begin before it is released
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
    /** Returns a copy of this view in which {@code step} is held. */
    public RankView withHeldStep(long step) {
        return new RankView(rank, epoch, isOpen, this.step, mapVersion, preparedVersion, armedVersion, armedStep, step);
    }
}
