package org.jasminehub.gateway.quarantine;

import org.jasminehub.core.event.Event;

/**
 * Logged when an endpoint crashes or the state of a part of a prompt changes.
 *
 * @param kind what happened
 * @param subject the endpoint or the part of the prompt
 * @param detail the cause or the suspected calls
 */
public record QuarantineEvent(QuarantineEventKind kind, String subject, String detail) implements Event {}
