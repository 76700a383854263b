package org.jasminehub.core.address;

import org.jasminehub.core.identity.FailureDomain;

/** Tells how far a failure domain is from this instance. */
@FunctionalInterface
public interface DomainDistance {
    /** Returns 0 for the nearest failure domains, and a higher number for those that cost more to reach. */
    int distance(FailureDomain domain);
}
