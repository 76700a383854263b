package org.jasminehub.core.membership;

import org.jasminehub.core.internal.Checks;

/**
 * When the platform's list is believed as it takes members away.
 *
 * <p>In each window of {@code windowMillis}, the list alone takes away at most {@code max(freeCount, freeShare of the live
 * members)} at once. What goes beyond is doubted: each member is kept until it was missing without a break for {@code confirmMillis} and in
 * {@code confirmLists} lists. Where more than {@code severeShare} of the live members are missing, {@code
 * severeConfirmMillis} holds instead.
 *
 * @param freeCount how many may always go at once
 * @param freeShare which share of the live members may go at once
 * @param windowMillis the time in which both are counted
 * @param confirmMillis how long a doubted absence must last
 * @param confirmLists in how many lists a doubted absence must show
 * @param severeShare from which missing share on the longer time holds
 * @param severeConfirmMillis how long a severe absence must last
 */
public record ListDoubtRule(
        int freeCount,
        double freeShare,
        long windowMillis,
        long confirmMillis,
        int confirmLists,
        double severeShare,
        long severeConfirmMillis) {
    /** The rule in use: a failure domain of 13 may go at once, half of the system only after ten minutes. */
    public static final ListDoubtRule STANDARD = new ListDoubtRule(3, 0.1, 60_000, 60_000, 3, 0.5, 600_000);

    /** Creates a checked rule. */
    public ListDoubtRule {
        Checks.notNegative("freeCount", freeCount);
        Checks.inRange("freeShare", freeShare, 0, 1);
        Checks.positive("windowMillis", windowMillis);
        Checks.notNegative("confirmMillis", confirmMillis);
        Checks.positive("confirmLists", confirmLists);
        Checks.inRange("severeShare", severeShare, freeShare, 1);
        Checks.that(severeConfirmMillis >= confirmMillis, "severeConfirmMillis", severeConfirmMillis, "no shorter");
    }

    int freeRemovals(int liveCount) {
        return Math.max(freeCount, (int) (freeShare * liveCount));
    }

    long confirmMillis(int missingCount, int liveCount) {
        return missingCount > severeShare * liveCount ? severeConfirmMillis : confirmMillis;
    }
}
