package org.jasminehub.core.limit;

/**
 * The reply to a {@link LoanRequest}.
 *
 * @param amount the amount lent, 0 if the lender has none to spare
 * @param durationMillis how long the borrower may use the amount, counted from when it sent the request
 */
public record LoanReply(double amount, long durationMillis) {}
