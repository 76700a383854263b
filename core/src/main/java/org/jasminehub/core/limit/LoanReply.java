package org.jasminehub.core.limit;

/**
 * Lends a part of a share.
 *
 * @param amount how much is lent, 0 where nothing is spare
 * @param durationMillis how long the borrower may use it, counted from when it sent its request
 */
public record LoanReply(double amount, long durationMillis) {}
