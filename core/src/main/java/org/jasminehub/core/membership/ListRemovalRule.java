package org.jasminehub.core.membership;

import org.jasminehub.core.internal.Checks;

/**
 * Limits how fast members are removed because they are missing from the platform's list.
 *
 * <p>A member is missing if the list does not show it as live. The limits prevent an incomplete list from removing many
 * members at once.
 *
 * <p>In each window of {@code windowMillis}, up to {@code max(freeCount, freeShare * live members)} members are removed
 * immediately. If more are missing, the list is doubted: a member is removed only after it has been missing without
 * interruption for {@code confirmMillis} and from {@code confirmLists} lists. If more than {@code severeShare} of the
 * live members are missing, {@code severeConfirmMillis} applies instead of {@code confirmMillis}.
 *
 * @param freeCount the number of members that may always be removed immediately
 * @param freeShare the share of the live members that may be removed immediately
 * @param windowMillis the length of the window in which immediate removals are counted
 * @param confirmMillis how long a member must be missing before it is removed from a doubted list
 * @param confirmLists the number of lists a member must be missing from before it is removed
 * @param severeShare the share of missing members above which {@code severeConfirmMillis} applies
 * @param severeConfirmMillis how long a member must be missing if more than {@code severeShare} are missing
 */
public record ListRemovalRule(
        int freeCount,
        double freeShare,
        long windowMillis,
        long confirmMillis,
        int confirmLists,
        double severeShare,
        long severeConfirmMillis) {
    /**
     * The rule in use.
     *
     * <p>With 13 failure domains, the members of one may be removed immediately; more than half of all members are
     * removed only after ten minutes.
     */
    public static final ListRemovalRule STANDARD = new ListRemovalRule(3, 0.1, 60_000, 60_000, 3, 0.5, 600_000);

    /** Creates a rule and validates its components. */
    public ListRemovalRule {
        Checks.notNegative("freeCount", freeCount);
        Checks.inRange("freeShare", freeShare, 0, 1);
        Checks.positive("windowMillis", windowMillis);
        Checks.notNegative("confirmMillis", confirmMillis);
        Checks.positive("confirmLists", confirmLists);
        Checks.inRange("severeShare", severeShare, freeShare, 1);
        Checks.that(
                severeConfirmMillis >= confirmMillis,
                "severeConfirmMillis",
                severeConfirmMillis,
                "at least confirmMillis");
    }

    int immediateRemovals(int liveCount) {
        return Math.max(freeCount, (int) (freeShare * liveCount));
    }

    long confirmMillis(int missingCount, int liveCount) {
        return missingCount > severeShare * liveCount ? severeConfirmMillis : confirmMillis;
    }
}
