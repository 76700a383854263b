package org.jasminehub.core.cold;

import org.jasminehub.core.serving.EndpointIncarnation;

/** The entry instances as this instance sees them. */
public interface SenderView {
    /** Returns the number of live instances that precede this one in the order of senders to {@code endpoint}. */
    int rank(EndpointIncarnation endpoint);

    /** Returns the number of live instances that may send, at least 1. */
    int liveInstances();

    /** Returns the number of instances that may exist, live or not; at least {@link #liveInstances}. */
    int knownInstances();
}
