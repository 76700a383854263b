package org.jasminehub.core.limit;

import org.jasminehub.core.identity.WorkspaceId;

/**
 * Asks another entry instance for a part of its share.
 *
 * @param workspace whose limit it is
 * @param kind what is limited
 * @param amount how much is wanted
 * @param sentMillis when the request was sent, on the borrower's monotonic clock; the loan counts from then
 */
public record LoanRequest(WorkspaceId workspace, LimitKind kind, double amount, long sentMillis) {}
