/**
 * Transport between the processes of jasminehub: length-prefixed protobuf messages over TCP, with many concurrent calls
 * on one connection.
 *
 * <p>{@link org.jasminehub.wire.WireServer} accepts calls and control requests, {@link org.jasminehub.wire.WireClient}
 * sends them. Response chunks are sent only against credit that the reader has granted, so a slow reader slows down the
 * sender and no buffer on the way grows without limit.
 */
@NullMarked
package org.jasminehub.wire;

import org.jspecify.annotations.NullMarked;
