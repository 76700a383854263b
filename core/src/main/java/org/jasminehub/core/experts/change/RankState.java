package org.jasminehub.core.experts.change;

/**
 * The state to which one rank and its agent have committed. Immutable.
 *
 * @param incarnation increases with every start of the rank's engine or agent
 * @param revision counts the changes of this state within an incarnation, so that outdated reports can be recognized
 * @param fencingNumber the highest fencing number that the rank has received, 0 if none
 * @param mode determines how the rank runs its next step
 * @param mapVersion the version of the map in use, 0 while the rank has not joined
 * @param nextVersion the version of the open change; equal to {@code mapVersion} if no change is open
 * @param switchStep the first step on the next map, 0 if no change is open
 * @param loadedVersion the newest version whose experts are all loaded into the rank's memory
 * @param endedVersion the highest version that can no longer be armed on this rank
 */
public record RankState(
        long incarnation,
        long revision,
        long fencingNumber,
        RankMode mode,
        long mapVersion,
        long nextVersion,
        long switchStep,
        long loadedVersion,
        long endedVersion) {

    /** Returns the state of a rank that has just started and has not joined yet. */
    public static RankState started(long incarnation) {
        return new RankState(incarnation, 0, 0, RankMode.OUT, 0, 0, 0, 0, 0);
    }

    /** Returns whether the rank takes part in the steps of its group. */
    public boolean isJoined() {
        return mode != RankMode.OUT;
    }

    /** Returns whether the rank runs on {@code version} and no change is open. */
    public boolean runs(long version) {
        return mode == RankMode.RUNNING && mapVersion == version;
    }

    /** Returns whether the rank is armed for {@code version} and waits for the decision. */
    public boolean isArmedFor(long version) {
        return mode == RankMode.ARMED && nextVersion == version;
    }

    /** Returns whether this state is newer than {@code other}, which may be of another incarnation. */
    boolean isNewerThan(RankState other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return revision > other.revision;
    }

    RankState withFencingNumber(long number) {
        return new RankState(
                incarnation, revision, number, mode, mapVersion, nextVersion, switchStep, loadedVersion, endedVersion);
    }

    RankState withMap(RankMode newMode, long version, long next, long step) {
        long ended = Math.max(endedVersion, version);
        return new RankState(
                incarnation, revision + 1, fencingNumber, newMode, version, next, step, loadedVersion, ended);
    }

    RankState withLoaded(long version) {
        return new RankState(
                incarnation,
                revision + 1,
                fencingNumber,
                mode,
                mapVersion,
                nextVersion,
                switchStep,
                Math.max(loadedVersion, version),
                endedVersion);
    }

    RankState withEnded(long version) {
        return new RankState(
                incarnation,
                revision + 1,
                fencingNumber,
                mode,
                mapVersion,
                nextVersion,
                switchStep,
                loadedVersion,
                Math.max(endedVersion, version));
    }
}
