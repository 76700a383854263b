package org.jasminehub.entry;

import org.jasminehub.core.internal.Checks;
import org.jasminehub.platform.http.Address;

/**
 * The settings of one entry instance, as read from its settings file.
 *
 * @param instance the name of the instance
 * @param failureDomain the failure domain of the instance: the set of instances that are likely to fail together
 * @param host the IP address that the servers of the instance listen on
 * @param callerPort the port for callers, or 0 to use any free port
 * @param wirePort the port for other processes of the system, or 0 to use any free port
 * @param operationsPort the port for metrics and health checks, or 0 to use any free port
 * @param log the address of the platform's log service
 * @param instanceList the address of the platform's instance list service
 * @param listIntervalMillis the interval between reads of the instance list
 * @param addressTtlMillis how long callers may cache an address list
 * @param maxBodyBytes the maximum size of a request body
 */
public record EntrySettings(
        String instance,
        String failureDomain,
        String host,
        int callerPort,
        int wirePort,
        int operationsPort,
        Address log,
        Address instanceList,
        int listIntervalMillis,
        int addressTtlMillis,
        int maxBodyBytes) {
    private static final int MAX_PORT = 65_535;
    private static final int MIN_INTERVAL_MILLIS = 50;
    private static final int MAX_INTERVAL_MILLIS = 10_000;
    private static final int MAX_TTL_MILLIS = 600_000;
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    /** Creates the settings after checking their ranges. */
    public EntrySettings {
        Checks.notBlank("instance", instance);
        Checks.notBlank("failureDomain", failureDomain);
        Checks.notBlank("host", host);
        Checks.inRange("callerPort", callerPort, 0, MAX_PORT);
        Checks.inRange("wirePort", wirePort, 0, MAX_PORT);
        Checks.inRange("operationsPort", operationsPort, 0, MAX_PORT);
        Checks.inRange("listIntervalMillis", listIntervalMillis, MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS);
        Checks.inRange("addressTtlMillis", addressTtlMillis, 1, MAX_TTL_MILLIS);
        Checks.inRange("maxBodyBytes", maxBodyBytes, 1, MAX_BODY_BYTES);
    }
}
