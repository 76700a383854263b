package org.jasminehub.gateway;

import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * Settings of an entry instance on the hosting platform. Addresses have the form IP:PORT.
 *
 * @param instance the name of the instance
 * @param failureDomain the failure domain in which it runs
 * @param callerAddress the listen address for callers
 * @param readinessAddress the listen address for the platform's readiness probes
 * @param directoryAddress the listen address for callers' address look-ups
 * @param peerAddress the listen address for other instances
 * @param metricsPort the port for metrics, on the host of {@code peerAddress}
 * @param agentPort the port on which rank agents listen, on the hosts of their engines
 * @param seeds the peer addresses of a few other instances, possibly outdated
 * @param storeAddress the address of the platform's store
 * @param revocationMillis the time after which a revoked key must no longer be accepted
 * @param drainMillis the time after which a draining endpoint must no longer receive calls
 * @param graceSeconds the time from the stop request to the end of the process
 * @param addressTtlSeconds the longest time for which callers may cache an address list
 * @param processorShare the share of its processor that the instance may use
 * @param processorSpeed how many times as fast as a core of the smallest machine the processor is
 * @param repeatRatio the retries allowed per call within a window, across all instances
 * @param repeatReserve the retries allowed in addition within a window, across all instances
 * @param repeatWindowSeconds the length of the window
 * @param capacity how the instances share the capacity of a service
 * @param clients what clients can make the instance hold
 */
public record GatewaySettings(
        String instance,
        String failureDomain,
        String callerAddress,
        String readinessAddress,
        String directoryAddress,
        String peerAddress,
        int metricsPort,
        int agentPort,
        List<String> seeds,
        String storeAddress,
        double revocationMillis,
        double drainMillis,
        double graceSeconds,
        double addressTtlSeconds,
        double processorShare,
        double processorSpeed,
        double repeatRatio,
        double repeatReserve,
        double repeatWindowSeconds,
        CapacitySettings capacity,
        ClientSettings clients) {
    /** Creates settings; times must be positive and names must not be blank. */
    public GatewaySettings {
        Checks.notBlank("instance", instance);
        Checks.notBlank("failureDomain", failureDomain);
        Checks.that(revocationMillis > 0, "revocationMillis", revocationMillis, "above 0");
        Checks.that(drainMillis > 0, "drainMillis", drainMillis, "above 0");
        Checks.that(graceSeconds > 0, "graceSeconds", graceSeconds, "above 0");
        Checks.that(addressTtlSeconds > 0, "addressTtlSeconds", addressTtlSeconds, "above 0");
        Checks.that(processorShare > 0, "processorShare", processorShare, "above 0");
        Checks.that(processorSpeed > 0, "processorSpeed", processorSpeed, "above 0");
        Checks.that(repeatWindowSeconds > 0, "repeatWindowSeconds", repeatWindowSeconds, "above 0");
        Checks.inRange("metricsPort", metricsPort, 0, 65_535);
        Checks.inRange("agentPort", agentPort, 1, 65_535);
        seeds = List.copyOf(seeds);
    }

    /** Returns what the processor can do, in cores of the smallest machine. */
    public double processorCores() {
        return processorShare * processorSpeed;
    }
}
