package org.jasminehub.gateway.experts;

import org.jasminehub.core.event.Event;

/**
 * A decision on expert maps or its outcome.
 *
 * @param kind what happened
 * @param group the group, empty if the event concerns none
 * @param epoch the epoch of the group
 * @param version the version of the map, 0 if the event concerns none
 * @param detail the inputs of the decision, or details of the outcome
 */
public record ExpertEvent(ExpertEventKind kind, String group, long epoch, long version, String detail)
        implements Event {}
