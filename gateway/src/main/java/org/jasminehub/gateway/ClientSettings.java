package org.jasminehub.gateway;

import org.jasminehub.core.internal.Checks;

/**
 * Settings that bound what clients can make an entry instance hold.
 *
 * @param memoryShare the share of the heap that all clients together may hold, from 0.05 to 0.5; the rest is for the
 *     state of the instance and for garbage
 */
public record ClientSettings(double memoryShare) {
    private static final double MIN_MEMORY_SHARE = 0.05;
    private static final double MAX_MEMORY_SHARE = 0.5;

    /** Creates settings after checking their ranges. */
    public ClientSettings {
        Checks.inRange("memoryShare", memoryShare, MIN_MEMORY_SHARE, MAX_MEMORY_SHARE);
    }

    /** Returns the memory that all clients together may hold in a process with a heap of {@code heapBytes}. */
    public long memoryBytes(long heapBytes) {
        return (long) (memoryShare * heapBytes);
    }
}
