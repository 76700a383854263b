package org.jasminehub.core.quarantine;

import java.util.Set;
import org.jasminehub.core.internal.Checks;

/**
 * A call that waited for its first output at an endpoint that crashed.
 *
 * @param request the part of its prompt that belongs to this request alone; the same for a retry
 * @param parts the parts of its prompt that other requests may share
 */
public record CrashSuspect(String request, Set<String> parts) {
    /** Creates a suspect; copies {@code parts}. */
    public CrashSuspect {
        Checks.notBlank("request", request);
        parts = Set.copyOf(parts);
    }
}
