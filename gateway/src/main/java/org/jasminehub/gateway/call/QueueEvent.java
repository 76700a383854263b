package org.jasminehub.gateway.call;

import org.jasminehub.core.event.Event;

/**
 * Logged when the sharing of queues changes.
 *
 * @param kind what happened
 * @param subject the instance that it concerns
 * @param detail the reason or the state
 */
public record QueueEvent(QueueEventKind kind, String subject, String detail) implements Event {}
