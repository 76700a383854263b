package org.jasminehub.agent;

import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.Target;
import org.jasminehub.platform.http.Address;

/**
 * The settings of one agent, as its settings file holds them.
 *
 * @param instance the instance's name
 * @param failureDomain the set of instances it tends to fail with
 * @param host the IP address it listens on
 * @param wirePort the port for entry instances, 0 for a free one
 * @param operationsPort the port of metrics and health, 0 for a free one
 * @param target what the endpoint serves
 * @param endpoint where the endpoint listens
 * @param loadIntervalMillis how often the endpoint's load is read and reported
 */
public record AgentSettings(
        String instance,
        String failureDomain,
        String host,
        int wirePort,
        int operationsPort,
        Target target,
        Address endpoint,
        int loadIntervalMillis) {
    private static final int MAX_PORT = 65_535;
    private static final int MIN_INTERVAL_MILLIS = 50;
    private static final int MAX_INTERVAL_MILLIS = 2_000;

    /** Creates checked settings. */
    public AgentSettings {
        Checks.notBlank("instance", instance);
        Checks.notBlank("failureDomain", failureDomain);
        Checks.notBlank("host", host);
        Checks.inRange("wirePort", wirePort, 0, MAX_PORT);
        Checks.inRange("operationsPort", operationsPort, 0, MAX_PORT);
        Checks.inRange("loadIntervalMillis", loadIntervalMillis, MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS);
    }
}
