package org.jasminehub.core.limit;

import org.jasminehub.core.identity.WorkspaceId;

/**
 * A request to borrow part of another entry instance's share of a limit.
 *
 * @param workspace the workspace that the limit belongs to
 * @param kind the kind of limit
 * @param amount the amount requested
 * @param sentMillis when the request was sent, on the borrower's monotonic clock; the loan starts at this time
 */
public record LoanRequest(WorkspaceId workspace, LimitKind kind, double amount, long sentMillis) {}
