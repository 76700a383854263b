package org.jasminehub.gateway;

import org.jasminehub.core.internal.Checks;

/**
 * Settings of a rank agent. Addresses have the form IP:PORT.
 *
 * @param instance the name of the agent
 * @param failureDomain the failure domain in which it runs
 * @param host its IP address
 * @param agentPort the port to which coordinators connect
 * @param engineAddress the address of the agent's engine
 * @param storeAddress the address of the platform's store
 */
public record RankAgentSettings(
        String instance, String failureDomain, String host, int agentPort, String engineAddress, String storeAddress) {
    /** Creates settings; names and host must not be blank. */
    public RankAgentSettings {
        Checks.notBlank("instance", instance);
        Checks.notBlank("failureDomain", failureDomain);
        Checks.notBlank("host", host);
        Checks.inRange("agentPort", agentPort, 0, 65_535);
    }
}
