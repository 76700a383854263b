package org.jasminehub.gateway;

import org.jasminehub.core.internal.Checks;

/**
 * Settings that determine how the instances share the capacity of a service.
 *
 * @param sharedQueuesMinInstances the number of entry instances from which queued calls are ordered across all of them,
 *     0 to order them within each instance
 * @param crossDomainCost the cost of a call that leaves its failure domain, as a share of the load of one slot, 0 if
 *     only equally loaded endpoints are told apart by their domain
 * @param homeDomainMinEndpoints the number of endpoints of a service in the local failure domain from which calls are
 *     kept there while it has room
 */
public record CapacitySettings(int sharedQueuesMinInstances, double crossDomainCost, int homeDomainMinEndpoints) {
    /** Queues of each instance for itself, and endpoints chosen regardless of capacity in their failure domains. */
    public static final CapacitySettings OFF = new CapacitySettings(0, 0, 0);

    /** Creates settings; no value may be negative. */
    public CapacitySettings {
        Checks.notNegative("sharedQueuesMinInstances", sharedQueuesMinInstances);
        Checks.inRange("crossDomainCost", crossDomainCost, 0, 1);
        Checks.notNegative("homeDomainMinEndpoints", homeDomainMinEndpoints);
    }
}
