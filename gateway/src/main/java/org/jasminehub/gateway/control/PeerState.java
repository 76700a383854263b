package org.jasminehub.gateway.control;

import org.jasminehub.wire.generated.InstanceRecord;

/**
 * The last status received from another entry instance.
 *
 * @param instance the sender's registration record
 * @param acceptsCallers whether the sender accepts callers
 * @param lastSeenMillis the time of receipt, by this process's monotonic clock
 */
public record PeerState(InstanceRecord instance, boolean acceptsCallers, long lastSeenMillis) {}
