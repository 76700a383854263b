package org.jasminehub.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/**
 * The body of a request, in segments, so that it is neither copied when it grows nor when it is complete.
 *
 * <p>Not thread-safe until it is complete; immutable afterwards.
 */
public final class RequestBody {
    private static final int MIN_SEGMENT_BYTES = 1 << 10;
    private static final int MAX_SEGMENT_BYTES = 64 << 10;

    /** Stands for a body that was not kept, because the response does not depend on it. */
    public static final RequestBody DISCARDED = new RequestBody();

    private final List<byte[]> segments = new ArrayList<>();
    private int lastSegmentLength;
    private int length;

    /** Creates an empty body. */
    public RequestBody() {}

    /** Returns the number of bytes. */
    public int length() {
        return length;
    }

    /**
     * Appends the readable bytes of {@code part}.
     *
     * @param remainingBytes the bytes of the body that are still to come with this part, or a negative number if unknown
     * @param mayAllocate called with the size of each segment before it is allocated
     * @return whether all segments could be allocated
     */
    boolean append(ByteBuf part, long remainingBytes, LongPredicate mayAllocate) {
        long remaining = remainingBytes;
        while (part.isReadable()) {
            byte[] last = segments.isEmpty() ? new byte[0] : segments.get(segments.size() - 1);
            if (lastSegmentLength == last.length) {
                int size = remaining < 0
                        ? Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, length))
                        : (int) Math.min(MAX_SEGMENT_BYTES, remaining);
                if (!mayAllocate.test(size)) {
                    return false;
                }
                last = new byte[size];
                segments.add(last);
                lastSegmentLength = 0;
            }
            int count = Math.min(part.readableBytes(), last.length - lastSegmentLength);
            part.readBytes(last, lastSegmentLength, count);
            lastSegmentLength += count;
            length += count;
            remaining -= remaining < 0 ? 0 : count;
        }
        return true;
    }

    /** Returns a buffer that shares the bytes of this body. */
    public ByteBuf toBuffer() {
        if (segments.isEmpty()) {
            return Unpooled.EMPTY_BUFFER;
        }
        return Unpooled.wrappedBuffer(segments.toArray(new byte[0][])).slice(0, length);
    }

    /** Passes the bytes to {@code consumer} in order. */
    public void forEachSegment(Consumer<ByteBuffer> consumer) {
        for (ByteBuffer segment : toBuffer().nioBuffers()) {
            consumer.accept(segment);
        }
    }

    /** Returns a copy of the bytes. */
    public byte[] toByteArray() {
        byte[] bytes = new byte[length];
        toBuffer().readBytes(bytes);
        return bytes;
    }
}
