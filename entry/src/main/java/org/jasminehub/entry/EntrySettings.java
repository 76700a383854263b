package org.jasminehub.entry;

import org.jasminehub.core.internal.Checks;
import org.jasminehub.platform.http.Address;

/**
 * The settings of one entry instance, as its settings file holds them.
 *
 * @param instance the instance's name
 * @param failureDomain the set of instances it tends to fail with
 * @param host the IP address it listens on
 * @param callerPort the port for callers, 0 for a free one
 * @param wirePort the port for other processes of the system, 0 for a free one
 * @param operationsPort the port of metrics and health, 0 for a free one
 * @param log where the platform's log listens
 * @param instanceList where the platform's list of instances listens
 * @param listIntervalMillis how often the list is read
 * @param addressTtlMillis how long callers may keep an address list
 * @param maxBodyBytes the largest request body that is taken
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

    /** Creates checked settings. */
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
