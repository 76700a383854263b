package org.jasminehub.gateway.quarantine;

import java.util.Set;

/** The quarantines in force at this instance, by the texts under which the store keeps them. */
interface QuarantineTerms {
    /** Returns the texts of the quarantines in force. */
    Set<String> quarantined();

    /** Returns the rest of the quarantine {@code text}, 0 if it is not in force. */
    long remainingMillis(String text);
}
