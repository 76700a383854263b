package org.jasminehub.core.evacuation;

import java.util.Comparator;
import org.jasminehub.core.era.StoreEra;
import org.jasminehub.core.internal.Checks;

/**
 * The position of a record in the operator's log. A restored store assigns offsets again, so the era is compared first.
 *
 * @param era the era of the store in which the record was read
 * @param offset the offset of the record in the log
 */
public record LogPosition(StoreEra era, long offset) implements Comparable<LogPosition> {
    private static final Comparator<LogPosition> ORDER =
            Comparator.comparing(LogPosition::era).thenComparingLong(LogPosition::offset);

    /** Creates a position; {@code offset} must not be negative. */
    public LogPosition {
        Checks.notNegative("offset", offset);
    }

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return "offset " + offset + " of era " + era.number();
    }
}
