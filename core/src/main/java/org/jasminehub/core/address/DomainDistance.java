package org.jasminehub.core.address;

import org.jasminehub.core.identity.FailureDomain;

/** The distance from this instance to failure domains. */
@FunctionalInterface
public interface DomainDistance {
    /** Returns 0 for the nearest failure domains and higher values for domains that are more costly to reach. */
    int distance(FailureDomain domain);
}
