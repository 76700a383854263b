package org.jasminehub.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which bytes and which ends of a connection are a response. */
final class StrictResponseDecoderTest {
    private final EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder(), new IgnoreExceptions());

    private static final class IgnoreExceptions extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(io.netty.channel.ChannelHandlerContext context, Throwable cause) {
            // As in EndpointConnection, the channel stays usable until it is closed.
        }
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Returns whether a response has been decoded up to its end; {@code body} is its content. */
    private boolean isComplete(String body) {
        StringBuilder content = new StringBuilder();
        boolean isComplete = false;
        for (HttpObject object = channel.readInbound(); object != null; object = channel.readInbound()) {
            assertTrue(object.decoderResult().isSuccess(), object.toString());
            if (object instanceof HttpContent part) {
                content.append(part.content().toString(StandardCharsets.ISO_8859_1));
            }
            isComplete |= object instanceof LastHttpContent;
        }
        assertEquals(body, content.toString());
        return isComplete;
    }

    /** Guards against a response without a length that is complete although its end was not read. */
    @Nested
    final class EndOfConnection {
        private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nX-Odd: v\r\n\r\n";

        @Test
        void testAnEndThatWasReadCompletesAResponse() {
            receive(UNFRAMED + "part");

            channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

            assertTrue(isComplete("part"));
        }

        @Test
        void testACloseDoesNotCompleteAResponse() {
            receive(UNFRAMED + "part");

            channel.close();

            assertFalse(isComplete("part"));
        }

        @Test
        void testAFailedReadDoesNotCompleteAResponse() {
            receive(UNFRAMED + "part");

            channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
            channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            channel.close();

            assertFalse(isComplete("part"));
        }

        @Test
        void testAnEndThatWasReadCompletesAResponseOnce() {
            receive(UNFRAMED + "part");
            channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            assertTrue(isComplete("part"));

            channel.close();

            assertFalse(isComplete(""));
        }

        @ParameterizedTest
        @ValueSource(strings = {"Content-Length: 5\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"})
        void testAnEndThatWasReadDoesNotCompleteAResponseThatStatesItsEnd(String fieldsAndBody) {
            receive("HTTP/1.1 200 OK\r\n" + fieldsAndBody);

            channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);

            assertFalse(isComplete("part"));
        }
    }

    /** Returns whether all that has been decoded is valid. */
    private boolean isValid() {
        boolean isValid = true;
        for (HttpObject object = channel.readInbound(); object != null; object = channel.readInbound()) {
            isValid &= object.decoderResult().isSuccess();
        }
        return isValid;
    }

    /** Guards against a response whose status line is repaired or read as another one. */
    @Nested
    final class StatusLines {
        private static final String REST = "\r\nContent-Length: 4\r\n\r\ndone";

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 000 X",
                    "HTTP/1.1 000",
                    "HTTP/1.1 0 X",
                    "HTTP/1.1 00 X",
                    "HTTP/1.1 099 X",
                    "HTTP/1.1 2 OK",
                    "HTTP/1.1 20 OK",
                    "HTTP/1.1 2000 OK",
                    "HTTP/1.1 0200 OK",
                    "HTTP/1.1 +200 OK",
                    "HTTP/1.1 -200 OK",
                    "HTTP/1.1 20x OK",
                    "HTTP/1.1 200OK",
                    "HTTP/1.1  200 OK",
                    "HTTP/1.1\t200 OK",
                    "HTTP/1.1 200\tOK",
                    "HTTP/1.1\u000b200 OK",
                    "HTTP/1.1 200\u000bOK",
                    "\u0000HTTP/1.1 200 OK",
                    "HTTP/1.1 200 O\u0000K",
                    "HTTP/1.1 200 O\u000bK",
                    "HTTP/1.1 200 O\u007fK",
                    "HTTP/1.1 200 O\rK",
                    "HTTP/0.9 200 OK",
                    "HTTP/2.0 200 OK",
                    "http/1.1 200 OK",
                    "ICY 200 OK",
                    "200 OK",
                    "HTTP/1.1",
                })
        void testALineThatIsNoStatusLineIsNoResponse(String line) {
            receive(line + REST);

            assertFalse(isValid());
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK",
                    "HTTP/1.0 200 OK",
                    "HTTP/1.1 100 Continue",
                    "HTTP/1.1 599 X",
                    "HTTP/1.1 999 X",
                    "HTTP/1.1 200 ",
                    "HTTP/1.1 200",
                    "HTTP/1.1 200  OK",
                    "HTTP/1.1 200 \tOK",
                    "HTTP/1.1 200 O\tK (all: \"fine\")",
                    "HTTP/1.1 200 Gr\u00f6\u00dfe",
                })
        void testAStatusLineIsAccepted(String line) {
            receive(line + "\r\nX-Odd: v\r\n\r\n");

            assertTrue(isValid());
        }
    }
}
