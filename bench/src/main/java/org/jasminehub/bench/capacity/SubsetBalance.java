package org.jasminehub.bench.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jasminehub.core.address.DomainDistance;
import org.jasminehub.core.address.EndpointSubsetPolicy;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;

/** Measures how evenly the entry instances' endpoint subsets cover the endpoints of one model. */
final class SubsetBalance {
    /** The number of endpoints of each model that an entry instance watches. */
    static final int SUBSET_SIZE = 16;

    /** How many of them are not among the nearest. */
    static final int FAR_ENDPOINTS = 4;

    /** Treats the failure domains of region 0 as near and those of the other regions as far. */
    static final DomainDistance DISTANCE = domain -> isInRegion(domain.value(), 0) ? 0 : 1;

    private static final int REGIONS = 4;

    private SubsetBalance() {}

    static List<BenchResult> measure() {
        List<Member> agents = Fleet.agents(Fleet.AGENTS).stream()
                .filter(agent -> agent.serves().get(0).name().equals("model-0"))
                .toList();
        Map<InstanceId, Integer> watchers = new HashMap<>();
        agents.forEach(agent -> watchers.put(agent.id(), 0));
        EndpointSubsetPolicy policy = new EndpointSubsetPolicy(SUBSET_SIZE, FAR_ENDPOINTS);
        for (Member entry : Fleet.entries(Fleet.ENTRIES)) {
            int region = region(entry.failureDomain().value());
            policy.choose(entry.id(), agents, domain -> isInRegion(domain.value(), region) ? 0 : 1)
                    .forEach(agent -> watchers.merge(agent.id(), 1, Integer::sum));
        }
        List<Integer> counts = new ArrayList<>(watchers.values());
        Collections.sort(counts);
        double mean = counts.stream().mapToInt(Integer::intValue).average().orElse(0);
        return List.of(
                new BenchResult("watchers of an endpoint, mean", mean, "entry instances"),
                new BenchResult("watchers of an endpoint, least", counts.get(0), "entry instances"),
                new BenchResult(
                        "watchers of an endpoint, 1st percentile", counts.get(counts.size() / 100), "entry instances"),
                new BenchResult(
                        "watchers of an endpoint, 99th percentile",
                        counts.get(counts.size() * 99 / 100),
                        "entry instances"),
                new BenchResult("watchers of an endpoint, most", counts.get(counts.size() - 1), "entry instances"));
    }

    private static boolean isInRegion(String domain, int region) {
        return region(domain) == region;
    }

    private static int region(String domain) {
        return Integer.parseInt(domain.substring(domain.lastIndexOf('-') + 1)) % REGIONS;
    }
}
