package org.jasminehub.core.operation;

/**
 * Permits one operation to be started at the incarnation that issued the ticket.
 *
 * <p>Presenting a ticket twice is harmless, because the ledger starts each operation only once. The expiry limits how
 * long a delayed message can still start the operation.
 *
 * @param issuer the only incarnation that accepts the ticket
 * @param id the operation
 * @param expiresMillis when the ticket expires, by the monotonic clock of {@code issuer}
 */
public record OperationTicket(AgentIncarnation issuer, OperationId id, long expiresMillis) {
    /** The header that carries a ticket from an entry instance to an agent. It is never sent to a service. */
    public static final String HEADER = "x-operation-ticket";
}
