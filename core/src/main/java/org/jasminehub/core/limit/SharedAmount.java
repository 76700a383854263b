package org.jasminehub.core.limit;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * One instance's part of a limit: its fixed share, less what it lent, plus what it borrowed.
 *
 * <p>The lender counts a loan as gone from when it answers; the borrower uses it from when the answer comes, but only
 * until a time that it counts from before its request. Hence the parts never sum to more than the limit, however late
 * an answer comes. Not safe for use by several threads.
 */
final class SharedAmount {
    private final double limit;
    private final boolean wholeUnits;
    private final long lenderHoldMillis;
    private final List<Loan> lent = new ArrayList<>();
    private final List<Loan> borrowed = new ArrayList<>();
    private double fixedShare;

    private record Loan(double amount, long endMillis) {}

    /**
     * Creates the part of an instance that has no view yet, which is nothing.
     *
     * @param limit the whole limit
     * @param wholeUnits whether parts must be whole numbers
     * @param lenderHoldMillis how much longer the lender counts a loan as gone than the borrower uses it
     */
    SharedAmount(double limit, boolean wholeUnits, long lenderHoldMillis) {
        this.limit = Checks.inRange("limit", limit, 0, Double.MAX_VALUE);
        this.wholeUnits = wholeUnits;
        this.lenderHoldMillis = Checks.notNegative("lenderHoldMillis", lenderHoldMillis);
    }

    void viewChanged(ShareView view) {
        if (wholeUnits) {
            long whole = (long) limit;
            fixedShare = whole / view.size() + (view.rank() < whole % view.size() ? 1 : 0);
        } else {
            fixedShare = limit / view.size();
        }
    }

    double present(long nowMillis) {
        lent.removeIf(loan -> loan.endMillis() <= nowMillis);
        borrowed.removeIf(loan -> loan.endMillis() <= nowMillis);
        return Math.max(0, fixedShare - sum(lent)) + sum(borrowed);
    }

    /** Lends at most {@code wanted} of the fixed share beyond {@code kept}, and returns how much. */
    double lend(double wanted, double kept, long nowMillis, long durationMillis) {
        lent.removeIf(loan -> loan.endMillis() <= nowMillis);
        double spare = Math.max(0, fixedShare - sum(lent) - kept);
        double amount = wholeUnits ? Math.floor(Math.min(wanted, spare)) : Math.min(wanted, spare);
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
