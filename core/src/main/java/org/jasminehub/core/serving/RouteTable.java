package org.jasminehub.core.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One version of the gateway configuration: routes, services, keys and limits. Immutable.
 *
 * <pre>{@code
 * Optional<Route> route = table.match("text.example", "/drafts/7");
 * }</pre>
 */
public final class RouteTable {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceProfile> services;
    private final Map<String, WorkspaceGrant> grants;
    private final boolean needsKeys;
    private final CallerLimits limits;
    private final Map<String, Set<Integer>> prioritiesByService = new HashMap<>();

    /**
     * Creates a table.
     *
     * @param grants the workspace and priority granted by each key
     * @param needsKeys whether calls on routes that are not public need a key
     */
    public RouteTable(
            long version,
            List<Route> routes,
            Map<String, ServiceProfile> services,
            Map<String, WorkspaceGrant> grants,
            boolean needsKeys,
            CallerLimits limits) {
        this.version = version;
        this.routesByHost = groupByHost(routes);
        this.services = Map.copyOf(services);
        this.grants = Map.copyOf(grants);
        this.needsKeys = needsKeys;
        this.limits = limits;
        for (Route route : routes) {
            for (WeightedService service : route.services()) {
                prioritiesByService
                        .computeIfAbsent(service.service(), name -> new HashSet<>())
                        .add(route.priority());
            }
        }
    }

    private static Map<String, List<Route>> groupByHost(List<Route> routes) {
        Map<String, List<Route>> result = new HashMap<>();
        for (Route route : routes) {
            result.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        result.values().forEach(routesOfHost -> routesOfHost.sort(longestFirst));
        return result;
    }

    /** Returns the version, which only increases. */
    public long version() {
        return version;
    }

    /** Returns the services by name. */
    public Map<String, ServiceProfile> services() {
        return services;
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns whether routes to {@code service} have different priorities. */
    public boolean hasSeveralPriorities(String service) {
        return prioritiesByService.getOrDefault(service, Set.of()).size() > 1;
    }

    /** Returns whether calls on routes that are not public need a key. */
    public boolean needsKeys() {
        return needsKeys;
    }

    /** Returns the grant of {@code key}, or empty if no workspace owns the key. */
    public Optional<WorkspaceGrant> grant(String key) {
        return Optional.ofNullable(grants.get(key));
    }

    /** Returns the route of {@code host} with the longest matching prefix of {@code path}; host names ignore case. */
    public Optional<Route> match(String host, String path) {
        List<Route> routesOfHost = routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of());
        return routesOfHost.stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }
}
