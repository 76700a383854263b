package org.jasminehub.gateway.call;

import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;

/**
 * A change of how many calls leave the local failure domain.
 *
 * @param service the service of the calls
 * @param extent NONE, SOME or ALL
 * @param homeUtilizationPercent the used share of the capacity in the local domain
 */
public record SpilloverEvent(String service, String extent, long homeUtilizationPercent) implements Event {
    @Override
    public EventKind kind() {
        return SpilloverEventKind.SPILLOVER_CHANGED;
    }
}
