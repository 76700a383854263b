package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against processes that run out of memory because clients send large bodies at the same time. */
final class ClientBodiesProcessTest {
    private static final int PART_BYTES = 64 << 10;

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    static byte[] filled(int length) {
        byte[] bytes = new byte[length];
        Arrays.fill(bytes, (byte) 'x');
        return bytes;
    }

    /** Writes {@code length} bytes in parts. */
    static void write(OutputStream out, long length, int partBytes) throws IOException {
        byte[] part = filled(partBytes);
        for (long rest = length; rest > 0; rest -= part.length) {
            out.write(part, 0, (int) Math.min(part.length, rest));
        }
    }

    /** Returns a script that announces a body of {@code announcedBytes} and sends {@code sentBytes} of it. */
    static ClientCrowd.Script body(String path, String key, long announcedBytes, long sentBytes, int partBytes) {
        byte[] head = ascii(LimitedEntryFixture.head(path, key) + "Content-Length: " + announcedBytes + "\r\n\r\n");
        return out -> {
            out.write(head);
            write(out, sentBytes, partBytes);
        };
    }

    /** Returns a script that sends {@code chunks} chunks of a body and not its end. */
    private static ClientCrowd.Script chunks(int chunkBytes, int chunks) {
        byte[] head = ascii(
                LimitedEntryFixture.head("/ordinary/x", GatewayFixture.KEY) + "Transfer-Encoding: chunked\r\n\r\n");
        String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
        int chunksPerPart = Math.max(1, PART_BYTES / chunk.length());
        byte[] part = ascii(chunk.repeat(chunksPerPart));
        return out -> {
            out.write(head);
            for (int sent = 0; sent < chunks; sent += chunksPerPart) {
                out.write(part, 0, Math.min(chunksPerPart, chunks - sent) * chunk.length());
            }
        };
    }

    @Nested
    final class CallersPort extends LimitedEntryFixture {
        @Test
        void testBodiesThatStopShortOfTheirEnd() throws Exception {
            checkBeside(
                    60,
                    GatewayProcess.CALLER_PORT,
                    body("/ordinary/x", GatewayFixture.KEY, BODY_BYTES, BODY_BYTES - 1, PART_BYTES));
        }

        @Test
        void testBodiesInSmallPieces() throws Exception {
            checkBeside(
                    60,
                    GatewayProcess.CALLER_PORT,
                    body("/ordinary/x", GatewayFixture.KEY, BODY_BYTES, BODY_BYTES - 1, 1_000));
        }

        @Test
        void testBodiesWithAnUnknownKey() throws Exception {
            checkBeside(
                    60,
                    GatewayProcess.CALLER_PORT,
                    body("/ordinary/x", "none", BODY_BYTES, BODY_BYTES - 1, PART_BYTES));
        }

        @Test
        void testCompleteBodiesOfCallsThatAnEndpointDoesNotAnswer() throws Exception {
            checkBeside(
                    100,
                    GatewayProcess.CALLER_PORT,
                    body("/held/x", GatewayFixture.KEY, BODY_BYTES, BODY_BYTES, PART_BYTES));
        }

        @Test
        void testChunkedBodiesInLargeChunks() throws Exception {
            checkBeside(60, GatewayProcess.CALLER_PORT, chunks(PART_BYTES, BODY_BYTES / PART_BYTES));
        }

        @Test
        void testChunkedBodiesOfOneChunk() throws Exception {
            checkBeside(100, GatewayProcess.CALLER_PORT, chunks(BODY_BYTES, 1));
        }

        @Test
        void testChunkedBodiesInSmallChunks() throws Exception {
            checkBeside(60, GatewayProcess.CALLER_PORT, chunks(16, BODY_BYTES / 16));
        }

        @Test
        void testChunkedBodiesFarOverTheLimit() throws Exception {
            checkBeside(60, GatewayProcess.CALLER_PORT, chunks(PART_BYTES, 10 * BODY_BYTES / PART_BYTES));
        }
    }

    /** Guards against refusals that cost more than the request: what a client sends after them has to be read. */
    @Nested
    final class BytesAfterARefusal extends LimitedEntryFixture {
        private static final long ANNOUNCED_BYTES = 1L << 30;

        /** Several times what a client may send with a body of the largest size, and what sockets buffer. */
        private static final long MAX_SENT_BYTES = 16L * BODY_BYTES;

        @Test
        void testABodyFarOverTheLimitIsNotReadToItsEnd() throws Exception {
            byte[] head =
                    ascii(head("/ordinary/x", GatewayFixture.KEY) + "Content-Length: " + ANNOUNCED_BYTES + "\r\n\r\n");
            byte[] part = filled(PART_BYTES);
            long sentBytes = 0;
            try (Socket client = connect(GatewayProcess.CALLER_PORT)) {
                client.getOutputStream().write(head);
                while (sentBytes < ANNOUNCED_BYTES) {
                    client.getOutputStream().write(part);
                    sentBytes += part.length;
                }
            } catch (IOException e) {
                // Closed by the process, as it should.
            }

            assertTrue(sentBytes <= MAX_SENT_BYTES, "sent bytes: " + sentBytes);
        }
    }

    @Nested
    final class OtherPorts extends LimitedEntryFixture {
        @Test
        void testBodiesToTheDirectory() throws Exception {
            checkBeside(
                    100,
                    GatewayProcess.DIRECTORY_PORT,
                    body("/resolution", GatewayFixture.KEY, BODY_BYTES, BODY_BYTES - 1, PART_BYTES));
        }

        @Test
        void testBodiesToTheReadinessProbe() throws Exception {
            checkBeside(
                    100,
                    GatewayProcess.READINESS_PORT,
                    body("/readiness", GatewayFixture.KEY, BODY_BYTES, BODY_BYTES - 1, PART_BYTES));
        }

        @Test
        void testBodiesToTheMetrics() throws Exception {
            checkBeside(
                    100,
                    GatewayProcess.METRICS_PORT,
                    body("/metrics", GatewayFixture.KEY, BODY_BYTES, BODY_BYTES - 1, PART_BYTES));
        }
    }
}
