package org.jasminehub.core.experts.change;

/**
 * What one rank, together with its agent, has agreed to; immutable.
 *
 * @param incarnation grows with every start of the rank's engine or agent
 * @param revision counts the changes of this state within an incarnation, so that a late report can be told
 * @param fencingNumber the highest fencing number that the rank was shown, 0 for none
 * @param mode what the rank does at its next step
 * @param mapVersion the version of the map it runs on, 0 while out
 * @param nextVersion the version it changes to; equal to {@code mapVersion} while no change is open
 * @param switchStep the first step of the next map, 0 while no change is open
 * @param loadedVersion the newest version whose experts are all in the rank's memory
 * @param endedVersion the highest version that can no longer be armed here
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

    /** Returns the state of a rank that has just started and takes part in nothing yet. */
    public static RankState started(long incarnation) {
        return new RankState(incarnation, 0, 0, RankMode.OUT, 0, 0, 0, 0, 0);
    }

    /** Tells whether the rank takes part in steps. */
    public boolean isJoined() {
        return mode != RankMode.OUT;
    }

    /** Tells whether the rank runs on {@code version} with no change open. */
    public boolean runs(long version) {
        return mode == RankMode.RUNNING && mapVersion == version;
    }

    /** Tells whether the rank waits for the decision on {@code version}. */
    public boolean isArmedFor(long version) {
        return mode == RankMode.ARMED && nextVersion == version;
    }

    /** Tells whether this report is newer than {@code other}, which may be of an earlier incarnation. */
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
