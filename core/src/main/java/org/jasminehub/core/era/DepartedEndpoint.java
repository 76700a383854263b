package org.jasminehub.core.era;

import org.jasminehub.core.identity.EndpointId;

/**
 * One run of an endpoint that accepts no more calls.
 *
 * @param id the name of the endpoint
 * @param startedWallMillis when the run started, by the endpoint's wall clock
 * @param sequence the number of its last known registration
 */
public record DepartedEndpoint(EndpointId id, long startedWallMillis, long sequence) {}
