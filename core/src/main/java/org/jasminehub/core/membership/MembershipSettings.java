package org.jasminehub.core.membership;

import org.jasminehub.core.internal.Checks;

/**
 * Settings of a {@link MembershipView}.
 *
 * @param listDoubt the limits on removing members that are missing from the platform's list
 * @param silenceMillis the time without a message after which a watched member counts as silent
 * @param factRetentionMillis how long the fact about an unlisted member is kept; must be longer than a loss of
 *     connection between regions lasts
 * @param sendsPerFact the number of times a new fact is sent to peers
 */
public record MembershipSettings(
        ListRemovalRule listDoubt, long silenceMillis, long factRetentionMillis, int sendsPerFact) {
    /** The settings in use. */
    public static final MembershipSettings STANDARD =
            new MembershipSettings(ListRemovalRule.STANDARD, 6_000, 24 * 3_600_000L, 3);

    /** Creates settings and validates them. */
    public MembershipSettings {
        Checks.positive("silenceMillis", silenceMillis);
        Checks.positive("factRetentionMillis", factRetentionMillis);
        Checks.positive("sendsPerFact", sendsPerFact);
    }
}
