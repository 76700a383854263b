package org.jasminehub.gateway;

import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * The settings of an entry instance on the hosting platform; addresses are IP:PORT.
 *
 * @param instance its name
 * @param failureDomain where it runs
 * @param callerAddress where callers connect
 * @param readinessAddress where the platform asks whether it is ready
 * @param directoryAddress where callers ask for addresses
 * @param peerAddress where other instances connect
 * @param metricsPort where metrics are served, on the host of {@code peerAddress}
 * @param agentPort where rank agents listen, on the hosts of their engines
 * @param seeds peer addresses of a few other instances, possibly stale
 * @param storeAddress the platform's store
 * @param revocationMillis after this a key that was taken away must not be honoured any more
 * @param graceSeconds between the order to stop and the end of the process
 * @param addressTtlSeconds how long callers may keep an address list at most
 * @param repeatRatio repeats allowed for each call in a window, over all instances
 * @param repeatReserve repeats allowed besides, over all instances
 * @param repeatWindowSeconds the window
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
        double graceSeconds,
        double addressTtlSeconds,
        double repeatRatio,
        double repeatReserve,
        double repeatWindowSeconds) {
    /** Creates settings; times must be positive and names not blank. */
    public GatewaySettings {
        Checks.notBlank("instance", instance);
        Checks.notBlank("failureDomain", failureDomain);
        Checks.that(revocationMillis > 0, "revocationMillis", revocationMillis, "above 0");
        Checks.that(graceSeconds > 0, "graceSeconds", graceSeconds, "above 0");
        Checks.that(addressTtlSeconds > 0, "addressTtlSeconds", addressTtlSeconds, "above 0");
        Checks.that(repeatWindowSeconds > 0, "repeatWindowSeconds", repeatWindowSeconds, "above 0");
        Checks.inRange("metricsPort", metricsPort, 0, 65_535);
        Checks.inRange("agentPort", agentPort, 1, 65_535);
        seeds = List.copyOf(seeds);
    }
}
