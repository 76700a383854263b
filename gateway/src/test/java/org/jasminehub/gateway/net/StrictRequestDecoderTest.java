package org.jasminehub.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.jasminehub.core.intake.MemoryAccount;
import org.jasminehub.core.intake.MemoryBudget;
import org.jasminehub.core.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StrictRequestDecoderTest {
    private static final int MAX_HEAD_BYTES = 4 << 10;
    private static final String GET = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n";
    private static final String FIELD = "a:b\r\n";

    private final MemoryBudget budget = new MemoryBudget(1 << 20, new ManualClock(0));
    private final MemoryAccount account = budget.open(() -> {});
    private final StrictRequestDecoder decoder = new StrictRequestDecoder(MAX_HEAD_BYTES, account);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private HttpRequest takeHead() {
        return assertInstanceOf(HttpRequest.class, channel.readInbound());
    }

    private int countParts() {
        int parts = 0;
        for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
            ReferenceCountUtil.release(part);
            parts++;
        }
        return parts;
    }

    /** Guards against small fields that occupy a hundred times their bytes before the head is complete. */
    @Nested
    final class Heads {
        @Test
        void testAnIncompleteHeadOccupiesNoMoreThanItsBuffer() {
            send("GET / HTTP/1.1\r\nHost: h.example\r\n" + FIELD.repeat(500));

            assertNull(channel.readInbound());
            assertTrue(account.heldBytes() <= 2 * MAX_HEAD_BYTES, "held: " + account.heldBytes());
        }

        @Test
        void testTheFieldsOfACompleteHeadAreCounted() {
            send("GET / HTTP/1.1\r\nHost: h.example\r\n" + FIELD.repeat(500) + "\r\n");

            assertEquals(501, takeHead().headers().size());
            assertTrue(account.heldBytes() >= 501 * RequestHeadScanner.FIELD_BYTES, "held: " + account.heldBytes());
        }

        @Test
        void testAHeadIsParsedWhereverItIsSplit() {
            for (int position = 1; position < GET.length(); position++) {
                send(GET.substring(0, position));
                send(GET.substring(position));

                assertEquals("/", takeHead().uri());
                assertInstanceOf(LastHttpContent.class, channel.readInbound());
                decoder.resume(channel.pipeline().context(decoder));
            }
        }

        @Test
        void testAHeadIsRefusedIfThereIsNoMemoryForItsFields() {
            MemoryAccount other = budget.open(() -> {});
            assertTrue(other.tryReserve((768 << 10) - 1));

            send("GET / HTTP/1.1\r\nHost: h.example\r\n" + FIELD.repeat(500) + "\r\n");

            HttpRequest refused = takeHead();
            assertInstanceOf(
                    InsufficientMemoryException.class, refused.decoderResult().cause());
        }

        @Test
        void testALongHeadIsRejected() {
            send("GET / HTTP/1.1\r\nHost: h.example\r\n" + "a: 1234567890\r\n".repeat(1_000) + "\r\n");

            assertTrue(takeHead().decoderResult().isFailure());
        }

        @Test
        void testLineEndsBeforeARequestAreSkipped() {
            send("\r\n\r\n\r\n");
            assertFalse(decoder.hasUnparsedHead());
            send(GET);

            assertEquals("/", takeHead().uri());
        }
    }

    /** Guards against parsed parts of later requests that are held while a request is processed. */
    @Nested
    final class RequestsBehindAnother {
        @Test
        void testTheyStayUnparsedUntilTheResponseIsSent() {
            send(GET + GET.replace("/ ", "/next "));

            assertEquals("/", takeHead().uri());
            assertEquals(1, countParts());
            assertTrue(decoder.hasUnparsedHead());

            decoder.resume(channel.pipeline().context(decoder));
            assertEquals("/next", takeHead().uri());
        }

        @Test
        void testTheMemoryOfARequestIsReleasedWithItsResponse() {
            send(GET);
            assertTrue(account.heldBytes() > 0);

            decoder.resume(channel.pipeline().context(decoder));
            assertEquals(0, account.heldBytes());
        }

        @Test
        void testAPartOfAHeadIsNoRequest() {
            send(GET + GET.substring(0, GET.length() - 1));

            assertFalse(decoder.hasUnparsedHead());
        }

        @Test
        void testReadingStopsBehindARequest() {
            send(GET + "x".repeat(2 * BoundedReads.MAX_READ_BYTES));

            assertFalse(channel.config().isAutoRead());
            decoder.resume(channel.pipeline().context(decoder));
            assertTrue(channel.config().isAutoRead());
        }
    }

    /** Guards against trailers of a chunked body, which a client may send by the thousand. */
    @Test
    void testTrailersAreNotKept() {
        send("POST / HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + FIELD.repeat(500)
                + "\r\n");

        takeHead();
        HttpObject last = channel.readInbound();
        assertEquals(
                0,
                assertInstanceOf(LastHttpContent.class, last).trailingHeaders().size());
    }

    @Nested
    final class Discarding {
        @Test
        void testNothingIsParsedAfterwards() {
            decoder.discard(bytes -> true);
            send(GET);

            assertEquals(0, countParts());
            assertTrue(channel.isOpen());
        }

        @Test
        void testTheConnectionIsClosedOnceTooMuchWasDiscarded() {
            decoder.discard(bytes -> bytes < GET.length());
            send(GET);

            assertFalse(channel.isOpen());
        }

        @Test
        void testTheMemoryOfTheHeadIsReleased() {
            send(GET.replace("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\n"));
            assertNotNull(channel.readInbound());

            decoder.discard(bytes -> true);
            assertEquals(0, account.heldBytes());
        }
    }
}
