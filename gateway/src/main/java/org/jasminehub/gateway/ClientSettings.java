package org.jasminehub.gateway;

import org.jasminehub.core.internal.Checks;

/**
 * Settings that bound what clients can make an entry instance hold.
 *
 * @param memoryShare the share of the heap that all clients together may hold, from 0.05 to 0.5; the rest is for the
 *     state of the instance and for garbage
 * @param fileDescriptors the number of file descriptors that the process may have open
 */
public record ClientSettings(double memoryShare, int fileDescriptors) {
    private static final double MIN_MEMORY_SHARE = 0.05;
    private static final double MAX_MEMORY_SHARE = 0.5;
    private static final int MIN_FILE_DESCRIPTORS = 512;

    /** Descriptors for files, the log and the Java machine itself. */
    private static final int FILES = 200;

    /**
     * Shares of the descriptors that are left for sockets. A call that runs needs a descriptor for its caller and one for
     * its endpoint; what remains is for idle connections to endpoints and for the store.
     */
    private static final double CALLERS_SHARE = 0.3;

    private static final double DIRECTORY_SHARE = 0.1;
    private static final double PEERS_SHARE = 0.2;

    /** Readiness probes and metrics are requested by a few clients of the platform. */
    private static final int OPERATIONS_CONNECTIONS = 16;

    /** Creates settings after checking their ranges. */
    public ClientSettings {
        Checks.inRange("memoryShare", memoryShare, MIN_MEMORY_SHARE, MAX_MEMORY_SHARE);
        Checks.inRange("fileDescriptors", fileDescriptors, MIN_FILE_DESCRIPTORS, Integer.MAX_VALUE);
    }

    /** Returns the memory that all clients together may hold in a process with a heap of {@code heapBytes}. */
    public long memoryBytes(long heapBytes) {
        return (long) (memoryShare * heapBytes);
    }

    /** Returns the number of connections of callers. */
    public int callerConnections() {
        return socketsOf(CALLERS_SHARE);
    }

    /** Returns the number of connections for address look-ups. */
    public int directoryConnections() {
        return socketsOf(DIRECTORY_SHARE);
    }

    /** Returns the number of connections that other instances may open to this one. */
    public int peerConnections() {
        return socketsOf(PEERS_SHARE);
    }

    /** Returns the number of connections for readiness probes, and for metrics. */
    public int operationsConnections() {
        return OPERATIONS_CONNECTIONS;
    }

    private int socketsOf(double share) {
        return (int) (share * (fileDescriptors - FILES));
    }
}
