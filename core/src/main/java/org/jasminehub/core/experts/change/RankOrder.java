package org.jasminehub.core.experts.change;

/**
 * An order to one rank; each may be repeated without harm.
 *
 * <p>All but {@link Survey} name the rank's incarnation and mean nothing to another one.
 */
public sealed interface RankOrder {
    /** Returns the number of the lease under which the order was given. */
    long fencingNumber();

    /** Asks for the rank's state, and shows it the fencing number. */
    record Survey(long fencingNumber) implements RankOrder {}

    /** Loads the experts of a map into spare memory; changes nothing that a step sees. */
    record Load(long fencingNumber, long incarnation, long nextVersion) implements RankOrder {}

    /** Stops the rank before {@code switchStep} until it is told to go or to abort. */
    record Arm(long fencingNumber, long incarnation, long mapVersion, long nextVersion, long switchStep)
            implements RankOrder {}

    /** Lets an armed rank run on the next map from its switch step on. */
    record Go(long fencingNumber, long incarnation, long nextVersion) implements RankOrder {}

    /** Lets an armed rank run on on its present map; {@code nextVersion} can't be armed again. */
    record Abort(long fencingNumber, long incarnation, long nextVersion) implements RankOrder {}

    /**
     * Lets a rank that is out take part in the group's next step, on {@code mapVersion} before {@code switchStep} and
     * on {@code nextVersion} from there on.
     */
    record Join(long fencingNumber, long incarnation, long mapVersion, long nextVersion, long switchStep)
            implements RankOrder {}
}
