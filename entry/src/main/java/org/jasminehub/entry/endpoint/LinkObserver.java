package org.jasminehub.entry.endpoint;

import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.wire.generated.Hello;

/** Hears of the processes at the other ends of this instance's connections; called on a thread of the transport. */
public interface LinkObserver {
    /** The process was heard; {@code peer} is what it last said of itself. */
    void onHeard(Hello peer);

    /** The connection to the process of {@code instance} is gone or could not be opened. */
    void onBroken(InstanceId instance);
}
