package org.jasminehub.core.serving;

import org.jasminehub.core.identity.EndpointId;

/**
 * One run of an endpoint. A restarted endpoint may keep its id, and its address may be assigned to another endpoint, so
 * neither identifies a run.
 *
 * @param id the name of the endpoint
 * @param startedWallMillis when the run started, by the wall clock
 */
public record EndpointIncarnation(EndpointId id, long startedWallMillis) {}
