package org.jasminehub.core.locality;

/**
 * The load of a service's endpoints in one failure domain.
 *
 * @param openCalls the open calls of all instances at these endpoints
 * @param capacityCalls the number of calls that may be open there at a time
 */
public record DomainLoad(double openCalls, double capacityCalls) {
    static final DomainLoad NONE = new DomainLoad(0, 0);

    /** Returns the used share of the capacity; a domain without capacity counts as full. */
    double utilization() {
        return capacityCalls <= 0 ? 1 : openCalls / capacityCalls;
    }

    /** Returns how many more calls fit before the used share of the capacity reaches {@code utilization}. */
    double freeCalls(double utilization) {
        return Math.max(0, utilization * capacityCalls - openCalls);
    }

    DomainLoad plus(DomainLoad other) {
        return new DomainLoad(openCalls + other.openCalls, capacityCalls + other.capacityCalls);
    }
}
