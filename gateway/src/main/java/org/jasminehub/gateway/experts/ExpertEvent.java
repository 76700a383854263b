package org.jasminehub.gateway.experts;

import org.jasminehub.core.event.Event;

/**
 * A decision on expert maps or its outcome.
 *
 * @param kind what happened
 * @param group the group, empty where none is concerned
 * @param epoch its epoch
 * @param version the map's version, 0 where none is concerned
 * @param detail the inputs that decided
 */
public record ExpertEvent(ExpertEventKind kind, String group, long epoch, long version, String detail)
        implements Event {}
