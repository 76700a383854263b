package org.jasminehub.core.experts.change;

/**
 * An order to one rank. All orders are idempotent.
 *
 * <p>All orders except {@link Survey} name an incarnation of the rank and are rejected by any other incarnation.
 */
public sealed interface RankOrder {
    /** Returns the fencing number of the lease under which the order was sent. */
    long fencingNumber();

    /** Requests the rank's state and gives the rank the holder's fencing number. */
    record Survey(long fencingNumber) implements RankOrder {}

    /** Loads the experts of a map into spare memory; does not affect running steps. */
    record Load(long fencingNumber, long incarnation, long nextVersion) implements RankOrder {}

    /** Stops the rank before {@code switchStep} until it receives a go or abort order. */
    record Arm(long fencingNumber, long incarnation, long mapVersion, long nextVersion, long switchStep)
            implements RankOrder {}

    /** Makes an armed rank run on the next map from its switch step on. */
    record Go(long fencingNumber, long incarnation, long nextVersion) implements RankOrder {}

    /** Makes an armed rank continue on its current map; {@code nextVersion} can't be armed again. */
    record Abort(long fencingNumber, long incarnation, long nextVersion) implements RankOrder {}

    /**
     * Makes a rank that has not joined run the group's steps from the next one on: on {@code mapVersion} before
     * {@code switchStep}, and on {@code nextVersion} from then on.
     */
    record Join(long fencingNumber, long incarnation, long mapVersion, long nextVersion, long switchStep)
            implements RankOrder {}
}
