package org.jasminehub.gateway.control;

import org.jasminehub.wire.generated.InstanceRecord;

/**
 * What another entry instance last said.
 *
 * @param instance who it is
 * @param acceptsCallers whether callers shall be sent there
 * @param heardMillis when it said so, by this process's monotonic clock
 */
public record PeerView(InstanceRecord instance, boolean acceptsCallers, long heardMillis) {}
