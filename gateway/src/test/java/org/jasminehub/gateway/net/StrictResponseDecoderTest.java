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
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
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
                    " HTTP/1.1 200 OK",
                    "\tHTTP/1.1 200 OK",
                    "\r\nHTTP/1.1 200 OK",
                    "\nHTTP/1.1 200 OK",
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

    /** Guards against a field that is repaired, cut short, dropped or read as the length of the body. */
    @Nested
    final class Fields {
        static List<String> invalidFields() {
            List<String> result = new ArrayList<>(List.of(
                    "X-Odd",
                    "X-Odd ",
                    "X-Odd : v",
                    "X-Odd\t: v",
                    "X Odd: v",
                    "X\tOdd: v",
                    " X-Odd: v",
                    "\tX-Odd: v",
                    "X-Odd: v\r\n w",
                    "X-Odd: v\r\n\tw",
                    "X-Odd: v\r\n ",
                    ": v",
                    " : v",
                    " ",
                    "Content-Length : 1",
                    "Content-Length\t: 1",
                    "Content Length: 1",
                    "Content-\tLength: 1",
                    " Content-Length: 1",
                    "Transfer-Encoding : chunked",
                    "Transfer Encoding: chunked",
                    " Transfer-Encoding: chunked"));
            for (int control = 0; control < ' '; control++) {
                if (control != '\n') {
                    result.add("X" + (char) control + "Odd: v");
                    result.add("X-Odd" + (char) control + ": v");
                }
            }
            for (char character : "\u007f\u0080\u0085\u00a0\u00f6()/;,@[]{}=\"\\<>?".toCharArray()) {
                result.add("X" + character + "Odd: v");
            }
            return result;
        }

        @ParameterizedTest
        @MethodSource("invalidFields")
        void testALineThatIsNoFieldIsNoResponse(String line) {
            receive("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\ndone");

            assertFalse(isValid());
        }

        @ParameterizedTest
        @MethodSource("invalidFields")
        void testALineThatIsNoFieldBehindAFieldIsNoResponse(String line) {
            receive("HTTP/1.1 200 OK\r\nX-Even: v\r\n" + line + "\r\nX-Last: v\r\n\r\ndone");

            assertFalse(isValid());
        }

        @ParameterizedTest
        @MethodSource("invalidFields")
        void testALineThatIsNoFieldOfAnInterimResponseIsNoResponse(String line) {
            receive("HTTP/1.1 103 Early Hints\r\nX-Even: v\r\n" + line
                    + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");

            assertFalse(isValid());
        }

        @ParameterizedTest
        @MethodSource("invalidFields")
        void testALineThatIsNoFieldBehindAnInterimResponseIsNoResponse(String line) {
            receive("HTTP/1.1 103 Early Hints\r\nX-Even: v\r\n\r\nHTTP/1.1 200 OK\r\nX-Even: v\r\n" + line
                    + "\r\n\r\ndone");

            assertFalse(isValid());
        }

        @ParameterizedTest
        @MethodSource("invalidFields")
        void testALineThatIsNoTrailerIsNoResponse(String line) {
            receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Even: v\r\n" + line
                    + "\r\n\r\n");

            assertFalse(isValid());
        }

        @ParameterizedTest
        @MethodSource("invalidFields")
        void testALineThatArrivesInSingleBytesIsNoResponse(String line) {
            for (char character : ("HTTP/1.1 200 OK\r\nX-Even: v\r\n" + line + "\r\n\r\ndone").toCharArray()) {
                receive(Character.toString(character));
            }

            assertFalse(isValid());
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "X-Odd:v",
                    "X-Odd: v",
                    "X-Odd: \t v \t ",
                    "X-Odd:",
                    "X-Odd: a: b",
                    "X-Odd: a \t b",
                    "X-Odd: \u00f6",
                    "!#$%&'*+-.^_`|~09azAZ: v"
                })
        void testAFieldIsAccepted(String line) {
            String rest = "\r\nContent-Length: 4\r\n\r\ndone";
            receive("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + line + rest);
            assertTrue(isComplete("done"));

            for (char character : ("HTTP/1.1 200 OK\r\n" + line + rest).toCharArray()) {
                receive(Character.toString(character));
            }
            assertTrue(isComplete("done"));
        }

        @Test
        void testABodyMayHoldLinesThatBeginWithABlank() {
            receive("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n\r\n a\r\n\tb"
                    + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            receive("8\r\n\r\n c\r\n\td\r\n0\r\nX-Trailer: v\r\n\r\n");

            assertTrue(isComplete("\r\n a\r\n\tb\r\n c\r\n\td"));
        }
    }
}
