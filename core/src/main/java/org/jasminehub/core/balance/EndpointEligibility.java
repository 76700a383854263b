package org.jasminehub.core.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jasminehub.core.serving.EndpointRecord;

/**
 * Determines which registered endpoints accept new calls.
 *
 * <p>When engines are replaced before the old registrations expire, each address is registered twice, and half of all
 * calls would go to endpoints that no longer exist. Only the endpoint that started last at an address is therefore
 * eligible.
 */
public final class EndpointEligibility {
    private EndpointEligibility() {}

    /**
     * Returns the endpoints that accept new calls, grouped by service.
     *
     * @param isExcluded whether an endpoint gets no new calls although its registration does not say so, because it is
     *     leaving or because its failure domain is evacuated
     */
    public static Map<String, List<EndpointRecord>> serving(
            Collection<EndpointRecord> registered, Predicate<EndpointRecord> isExcluded) {
        Map<String, Long> newestStartMillis = new HashMap<>();
        for (EndpointRecord endpoint : registered) {
            newestStartMillis.merge(hostAndPort(endpoint), endpoint.startedWallMillis(), Math::max);
        }
        Map<String, List<EndpointRecord>> eligible = new HashMap<>();
        for (EndpointRecord endpoint : registered) {
            boolean isSuperseded = endpoint.startedWallMillis()
                    < newestStartMillis.getOrDefault(hostAndPort(endpoint), endpoint.startedWallMillis());
            if (!endpoint.isDraining() && !isExcluded.test(endpoint) && !isSuperseded) {
                eligible.computeIfAbsent(endpoint.service(), service -> new ArrayList<>())
                        .add(endpoint);
            }
        }
        return eligible;
    }

    private static String hostAndPort(EndpointRecord endpoint) {
        return endpoint.host() + ":" + endpoint.port();
    }
}
