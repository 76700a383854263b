package org.jasminehub.core.operation;

/**
 * Allows one operation to start at one incarnation of one agent.
 *
 * <p>A repeat of the ticket does no harm, since the ledger starts each operation once. Its expiry bounds how long a
 * delayed message can still start something.
 *
 * @param issuer the only incarnation that honours it
 * @param id the operation
 * @param expiresMillis when it lapses, by the issuer's monotonic clock
 */
public record OperationTicket(AgentIncarnation issuer, OperationId id, long expiresMillis) {
    /** The header that carries a ticket between processes of the system, never to a service. */
    public static final String HEADER = "x-operation-ticket";
}
