package org.jasminehub.gateway.call;

import java.util.Optional;
import org.jasminehub.core.serving.RouteTable;

/** Read access to the configuration in force and its age. */
public interface ConfigurationView {
    /** Returns the configuration in force, or empty before the first one has been received. */
    Optional<RouteTable> inForce();

    /** Returns the time since the configuration was last confirmed to be the newest version. */
    long ageMillis();
}
