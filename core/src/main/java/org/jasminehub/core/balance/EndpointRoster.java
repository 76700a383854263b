package org.jasminehub.core.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jasminehub.core.serving.EndpointRecord;

/**
 * Decides which registered endpoints take new calls.
 *
 * <p>Load pattern: all engines are replaced while registrations do not lapse, so that every address is registered twice
 * and half of all calls go to endpoints that are gone. An address belongs to the endpoint that started last.
 */
public final class EndpointRoster {
    private EndpointRoster() {}

    /** Returns the endpoints that take new calls, by service. */
    public static Map<String, List<EndpointRecord>> serving(Collection<EndpointRecord> registered) {
        Map<String, Long> newestStartMillis = new HashMap<>();
        for (EndpointRecord endpoint : registered) {
            newestStartMillis.merge(addressOf(endpoint), endpoint.startedWallMillis(), Math::max);
        }
        Map<String, List<EndpointRecord>> serving = new HashMap<>();
        for (EndpointRecord endpoint : registered) {
            boolean isReplaced = endpoint.startedWallMillis()
                    < newestStartMillis.getOrDefault(addressOf(endpoint), endpoint.startedWallMillis());
            if (!endpoint.isDraining() && !isReplaced) {
                serving.computeIfAbsent(endpoint.service(), service -> new ArrayList<>())
                        .add(endpoint);
            }
        }
        return serving;
    }

    private static String addressOf(EndpointRecord endpoint) {
        return endpoint.host() + ":" + endpoint.port();
    }
}
