package org.jasminehub.core.locality;

import org.jasminehub.core.internal.Checks;

/**
 * Settings of the choice between failure domains.
 *
 * @param crossDomainCost the cost of a call that leaves its domain, as a share of the load of one slot; 0 turns the
 *     choice off
 * @param minHomeEndpoints the number of endpoints in the local domain from which its capacity is preferred
 */
public record LocalitySettings(double crossDomainCost, int minHomeEndpoints) {
    /** Creates settings; no value may be negative. */
    public LocalitySettings {
        Checks.inRange("crossDomainCost", crossDomainCost, 0, 1);
        Checks.notNegative("minHomeEndpoints", minHomeEndpoints);
    }
}
