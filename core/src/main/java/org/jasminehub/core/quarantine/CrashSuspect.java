package org.jasminehub.core.quarantine;

import java.util.Set;
import org.jasminehub.core.internal.Checks;

/**
 * A call that waited for its first output at an endpoint that crashed.
 *
 * @param request the part of its prompt that belongs to this request alone, or its digest; the same for a retry
 * @param parts the parts of its prompt that other requests may share, empty if it has no prompt
 * @param digest the digest of the whole request, the same whenever its caller repeats it
 * @param sentAgeMillis how long before the crash was observed it had been sent
 */
public record CrashSuspect(String request, Set<String> parts, String digest, long sentAgeMillis) {
    /** Creates a suspect; copies {@code parts}. */
    public CrashSuspect {
        Checks.notBlank("request", request);
        Checks.notNegative("sentAgeMillis", sentAgeMillis);
        parts = Set.copyOf(parts);
    }
}
