package org.jasminehub.core.quarantine;

import java.util.List;
import org.jasminehub.core.identity.EndpointId;

/**
 * The observation by one instance that an endpoint crashed. Several instances may report the same crash.
 *
 * @param endpoint the endpoint that crashed
 * @param startedWallMillis when the endpoint had started, which identifies its run
 * @param suspects the calls of the reporting instance that waited for their first output there
 * @param observedAgeMillis the time since the reporting instance observed the crash
 */
public record EndpointCrash(
        EndpointId endpoint, long startedWallMillis, List<CrashSuspect> suspects, long observedAgeMillis) {
    /** Creates a report; copies {@code suspects}. */
    public EndpointCrash {
        suspects = List.copyOf(suspects);
    }
}
