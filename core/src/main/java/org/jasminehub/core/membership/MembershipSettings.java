package org.jasminehub.core.membership;

import org.jasminehub.core.internal.Checks;

/**
 * The times and bounds of a {@link MembershipView}.
 *
 * @param listDoubt when a list that takes members away is believed
 * @param silenceMillis after which time a watched member counts as silent
 * @param factRetentionMillis how long the fact of an unlisted member is kept, longer than regions lose each other
 * @param sendsPerFact how often a new fact is passed on
 */
public record MembershipSettings(
        ListDoubtRule listDoubt, long silenceMillis, long factRetentionMillis, int sendsPerFact) {
    /** The settings in use. */
    public static final MembershipSettings STANDARD =
            new MembershipSettings(ListDoubtRule.STANDARD, 6_000, 24 * 3_600_000L, 3);

    /** Creates checked settings. */
    public MembershipSettings {
        Checks.positive("silenceMillis", silenceMillis);
        Checks.positive("factRetentionMillis", factRetentionMillis);
        Checks.positive("sendsPerFact", sendsPerFact);
    }
}
