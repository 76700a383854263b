package org.jasminehub.core.era;

import org.jasminehub.core.internal.Checks;

/**
 * A period in which the store loses no acknowledged record; a restore from a copy begins the next era.
 *
 * <p>Offsets of different eras must not be compared, because a restored store assigns the same offsets again.
 *
 * @param number the number of the era, which increases with each restore
 */
public record StoreEra(long number) implements Comparable<StoreEra> {
    /** Creates an era; {@code number} must not be negative. */
    public StoreEra {
        Checks.notNegative("number", number);
    }

    @Override
    public int compareTo(StoreEra other) {
        return Long.compare(number, other.number);
    }
}
