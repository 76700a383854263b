package org.jasminehub.gateway;

import org.jasminehub.core.internal.Checks;

/**
 * The settings of a rank agent; addresses are IP:PORT.
 *
 * @param instance its name
 * @param failureDomain where it runs
 * @param host its IP address
 * @param agentPort where coordinators connect
 * @param engineAddress the engine beside it
 * @param storeAddress the platform's store
 */
public record RankAgentSettings(
        String instance, String failureDomain, String host, int agentPort, String engineAddress, String storeAddress) {
    /** Creates settings. */
    public RankAgentSettings {
        Checks.notBlank("instance", instance);
        Checks.notBlank("failureDomain", failureDomain);
        Checks.notBlank("host", host);
        Checks.inRange("agentPort", agentPort, 0, 65_535);
    }
}
