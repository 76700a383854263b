package org.jasminehub.gateway.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class RequestBodyTest {
    private static final long UNKNOWN = -1;

    private final RequestBody body = new RequestBody();
    private long allocatedBytes;

    private boolean allocate(long bytes) {
        allocatedBytes += bytes;
        return true;
    }

    private byte[] append(int parts, int maxPartBytes, boolean isLengthKnown) {
        SplittableRandom random = new SplittableRandom(1);
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        int[] sizes = random.ints(parts, 0, maxPartBytes).toArray();
        long remaining = 0;
        for (int size : sizes) {
            remaining += size;
        }
        for (int size : sizes) {
            byte[] bytes = new byte[size];
            random.nextBytes(bytes);
            sent.writeBytes(bytes);
            assertTrue(body.append(Unpooled.wrappedBuffer(bytes), isLengthKnown ? remaining : UNKNOWN, this::allocate));
            remaining -= size;
        }
        return sent.toByteArray();
    }

    @Test
    void testABodyOfKnownLengthAllocatesNoMoreThanThat() {
        byte[] sent = append(500, 1_000, true);

        assertEquals(sent.length, allocatedBytes);
        assertArrayEquals(sent, body.toByteArray());
    }

    /** Guards against buffers that are copied when they grow and hold up to three times their bytes. */
    @Test
    void testABodyOfUnknownLengthAllocatesLessThanTwiceItsBytes() {
        byte[] sent = append(500, 1_000, false);

        assertTrue(allocatedBytes < 2 * sent.length, allocatedBytes + " for " + sent.length);
        assertArrayEquals(sent, body.toByteArray());
    }

    @Test
    void testTheBufferSharesTheBytes() {
        byte[] sent = append(20, 100_000, false);
        ByteBuf buffer = body.toBuffer();
        byte[] read = new byte[buffer.readableBytes()];
        buffer.readBytes(read);

        assertArrayEquals(sent, read);
    }

    @Test
    void testNothingIsAllocatedWithoutPermission() {
        assertFalse(body.append(Unpooled.wrappedBuffer(new byte[10]), UNKNOWN, bytes -> false));
        assertEquals(0, body.length());
    }
}
