package org.jasminehub.core.ratelimit;

/** Sends messages about permits to other instances; a message may be lost. */
@FunctionalInterface
public interface PermitSender {
    /** Sends {@code message} to {@code instance}. */
    void send(String instance, RatePermitMessage message);
}
