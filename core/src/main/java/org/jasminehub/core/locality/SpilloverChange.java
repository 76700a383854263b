package org.jasminehub.core.locality;

/**
 * A change of how many calls leave the local failure domain.
 *
 * @param service the service of the calls
 * @param extent how many calls leave from now on
 * @param homeUtilization the used share of the capacity in the local domain
 */
public record SpilloverChange(String service, SpilloverExtent extent, double homeUtilization) {}
