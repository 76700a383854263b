/**
 * The transport between jasminehub's own processes: protobuf messages over TCP, many calls on one connection.
 *
 * <p>{@link org.jasminehub.wire.WireServer} accepts calls and control requests, {@link org.jasminehub.wire.WireClient}
 * makes them. Answers flow only against credit, so a slow reader slows the sender and nothing in between grows.
 */
@NullMarked
package org.jasminehub.wire;

import org.jspecify.annotations.NullMarked;
