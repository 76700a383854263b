package org.jasminehub.core.limit;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * An instance's share of a limit: its fixed share, minus the amounts lent, plus the amounts borrowed.
 *
 * <p>The lender deducts a loan as soon as it replies. The borrower uses the loan once it has received the reply, but
 * only for a duration that it counts from before it sent the request. The shares of all instances therefore never sum
 * to more than the limit, however late a reply arrives.
 *
 * <p>Not thread-safe.
 */
final class LimitShare {
    private final double limit;
    private final boolean isIntegral;
    private final long lenderHoldMillis;
    private final List<Loan> lent = new ArrayList<>();
    private final List<Loan> borrowed = new ArrayList<>();
    private double fixedShare;

    private record Loan(double amount, long endMillis) {}

    /**
     * Creates a share of 0; {@link #viewChanged} sets the fixed share.
     *
     * @param limit the limit that is shared by all instances
     * @param isIntegral whether shares must be integers
     * @param lenderHoldMillis how long the lender still deducts a loan after the borrower has stopped using it
     */
    LimitShare(double limit, boolean isIntegral, long lenderHoldMillis) {
        this.limit = Checks.inRange("limit", limit, 0, Double.MAX_VALUE);
        this.isIntegral = isIntegral;
        this.lenderHoldMillis = Checks.notNegative("lenderHoldMillis", lenderHoldMillis);
    }

    void viewChanged(ShareView view) {
        if (isIntegral) {
            long units = (long) limit;
            fixedShare = units / view.size() + (view.rank() < units % view.size() ? 1 : 0);
        } else {
            fixedShare = limit / view.size();
        }
    }

    double currentAmount(long nowMillis) {
        lent.removeIf(loan -> loan.endMillis() <= nowMillis);
        borrowed.removeIf(loan -> loan.endMillis() <= nowMillis);
        return Math.max(0, fixedShare - sum(lent)) + sum(borrowed);
    }

    /** Lends up to {@code requested} of the fixed share, except for {@code reserved}, and returns the amount lent. */
    double lend(double requested, double reserved, long nowMillis, long durationMillis) {
        lent.removeIf(loan -> loan.endMillis() <= nowMillis);
        double spare = Math.max(0, fixedShare - sum(lent) - reserved);
        double amount = isIntegral ? Math.floor(Math.min(requested, spare)) : Math.min(requested, spare);
        if (amount > 0) {
            lent.add(new Loan(amount, nowMillis + durationMillis + lenderHoldMillis));
        }
        return Math.max(0, amount);
    }

    void borrow(double amount, long endMillis) {
        borrowed.add(new Loan(amount, endMillis));
    }

    private static double sum(List<Loan> loans) {
        return loans.stream().mapToDouble(Loan::amount).sum();
    }
}
