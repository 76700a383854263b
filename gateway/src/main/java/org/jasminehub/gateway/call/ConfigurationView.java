package org.jasminehub.gateway.call;

import java.util.Optional;
import org.jasminehub.core.serving.RouteTable;

/** The configuration in force and how old that knowledge is. */
public interface ConfigurationView {
    /** Returns the configuration in force, empty before the first one. */
    Optional<RouteTable> inForce();

    /** Returns how long ago it was last known that no newer version exists. */
    long ageMillis();
}
