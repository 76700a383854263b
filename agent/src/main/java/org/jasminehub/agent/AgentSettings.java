package org.jasminehub.agent;

import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.membership.Target;
import org.jasminehub.platform.http.Address;

/**
 * The settings of one agent, as read from its settings file.
 *
 * @param instance the name of the instance
 * @param failureDomain the failure domain, a group of instances that tend to fail together
 * @param host the IP address to listen on
 * @param wirePort the port for entry instances, or 0 for any free port
 * @param operationsPort the port for metrics and health checks, or 0 for any free port
 * @param target the model or service that the endpoint serves
 * @param endpoint the address of the endpoint
 * @param loadIntervalMillis the interval at which the endpoint's load is read and reported
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

    /** Creates settings; throws if a name is blank or a number is out of range. */
    public AgentSettings {
        Checks.notBlank("instance", instance);
        Checks.notBlank("failureDomain", failureDomain);
        Checks.notBlank("host", host);
        Checks.inRange("wirePort", wirePort, 0, MAX_PORT);
        Checks.inRange("operationsPort", operationsPort, 0, MAX_PORT);
        Checks.inRange("loadIntervalMillis", loadIntervalMillis, MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS);
    }
}
