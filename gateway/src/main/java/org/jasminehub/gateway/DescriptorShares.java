package org.jasminehub.gateway;

import org.jasminehub.core.internal.Checks;

/**
 * How many of the file descriptors of an entry instance the clients of each listener may use.
 *
 * <p>A call that runs needs a descriptor for its caller and one for its endpoint. What is not shared out here is for
 * endpoints, idle connections to them and the store.
 *
 * @param fileDescriptors the number of descriptors that the process may have open
 */
record DescriptorShares(int fileDescriptors) {
    /** The system property with the number of descriptors, which the deploy file's command states for each machine. */
    static final String PROPERTY = "jasminehub.fileDescriptors";

    /** Used without the property; as many as the smallest machines give. */
    private static final int DEFAULT_FILE_DESCRIPTORS = 2_048;

    private static final int MIN_FILE_DESCRIPTORS = 512;

    /** Descriptors for files, the log and the Java machine itself. */
    private static final int FILES = 200;

    private static final double CALLERS_SHARE = 0.3;
    private static final double DIRECTORY_SHARE = 0.1;
    private static final double PEERS_SHARE = 0.2;

    /** Readiness probes and metrics are requested by a few clients of the platform. */
    private static final int OPERATIONS_CONNECTIONS = 16;

    /** Creates shares; fewer descriptors than 512 are not enough for an instance. */
    DescriptorShares {
        Checks.inRange(PROPERTY, fileDescriptors, MIN_FILE_DESCRIPTORS, Integer.MAX_VALUE);
    }

    /** Returns the shares of the descriptors of this process. */
    static DescriptorShares ofProcess() {
        return new DescriptorShares(Integer.getInteger(PROPERTY, DEFAULT_FILE_DESCRIPTORS));
    }

    /** Returns the number of connections of callers. */
    int callerConnections() {
        return socketsOf(CALLERS_SHARE);
    }

    /** Returns the number of connections for address look-ups. */
    int directoryConnections() {
        return socketsOf(DIRECTORY_SHARE);
    }

    /** Returns the number of connections that other instances may open to this one. */
    int peerConnections() {
        return socketsOf(PEERS_SHARE);
    }

    /** Returns the number of connections for readiness probes, and for metrics. */
    int operationsConnections() {
        return OPERATIONS_CONNECTIONS;
    }

    private int socketsOf(double share) {
        return (int) (share * (fileDescriptors - FILES));
    }
}
