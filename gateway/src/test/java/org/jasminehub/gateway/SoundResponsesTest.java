package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against complete responses that fail although the protocol allows them in that form. */
final class SoundResponsesTest extends EarlyResponseFixture {
    private static final String BODY = "done";
    private static final String EVENTS = "id: 1\ndata: e1\n\n";
    private static final String EVENT_STREAM = "\r\nContent-Type: text/event-stream";

    private static final ScriptedEndpoint.Reply KEEPS_THE_CONNECTION = (request, socket) -> {
        readUpload(socket);
        return true;
    };

    /** Ends its side of the connection, reads the rest of the request and closes then. */
    private static final ScriptedEndpoint.Reply READS_ON = (request, socket) -> {
        socket.shutdownOutput();
        readUpload(socket);
        return false;
    };

    /** The calls whose caller has the response. */
    private final Semaphore answeredCalls = new Semaphore(0);

    @BeforeEach
    @Override
    void start() throws IOException {
        super.start();
        serveWithOneEndpoint();
    }

    /** Ends its side of the connection and reads nothing, which keeps the request from being written. */
    private ScriptedEndpoint.Reply readsNothing() {
        return (request, socket) -> {
            socket.shutdownOutput();
            answeredCalls.acquireUninterruptibly();
            return false;
        };
    }

    private ScriptedEndpoint.Reply early(String statusAndFields, String body, ScriptedEndpoint.Reply end) {
        return (request, socket) -> {
            ScriptedEndpoint.write(socket, head(request, statusAndFields) + body);
            return end.answer(request, socket);
        };
    }

    private String exchange(String path) throws IOException {
        String answer = gateway.exchange(upload(path));
        answeredCalls.release();
        return answer;
    }

    private static String chunked(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" + LAST_CHUNK;
    }

    /** Responses that end before their request has been read. */
    @Nested
    final class Early {
        private void assertServed(String fields, String plain, String stream, ScriptedEndpoint.Reply end)
                throws IOException {
            for (String path : List.of("/unsafe/x", "/safe/x")) {
                script.add(early("200 OK" + fields.replace("{length}", Integer.toString(BODY.length())), plain, end));

                String answer = exchange(path);

                assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith(BODY), answer);
            }
            script.add(early(
                    "200 OK" + EVENT_STREAM + fields.replace("{length}", Integer.toString(EVENTS.length())),
                    stream,
                    end));

            String answer = exchange("/stream/x");

            assertTrue(answer.contains(EVENTS) && answer.endsWith(LAST_CHUNK), answer);
            assertEquals(3, requests());
        }

        @Test
        void testAResponseWithALengthIsServed() throws Exception {
            assertServed("\r\nContent-Length: {length}", BODY, EVENTS, KEEPS_THE_CONNECTION);
        }

        @Test
        void testAResponseInChunksIsServed() throws Exception {
            assertServed("\r\nTransfer-Encoding: chunked", chunked(BODY), chunked(EVENTS), KEEPS_THE_CONNECTION);
        }

        @Test
        void testAResponseThatEndsWithItsConnectionIsServed() throws Exception {
            assertServed("", BODY, EVENTS, READS_ON);
        }

        @Test
        void testAResponseThatEndsWithItsConnectionIsServedIfTheRestOfTheRequestIsNotRead() throws Exception {
            assertServed("", BODY, EVENTS, readsNothing());
        }

        @Test
        void testAResponseThatEndsWithItsConnectionIsServedAfterTheRequestWasRead() throws Exception {
            assertServed("", BODY, EVENTS, (request, socket) -> {
                readUpload(socket);
                return false;
            });
        }

        @Test
        void testALargeResponseThatEndsWithItsConnectionIsServed() throws Exception {
            String large = "x".repeat(2 << 20);
            script.add(early("200 OK", large, READS_ON));

            String answer = exchange("/unsafe/x");

            assertTrue(answer.endsWith(LAST_CHUNK), () -> answer.substring(answer.length() - LAST_CHUNK.length()));
            assertEquals(large, body(answer));
        }

        /** Returns the body of a response in chunks that holds none of the characters of their framing. */
        private String body(String answer) {
            return answer.substring(answer.indexOf("\r\n\r\n")).replaceAll("[0-9a-f]+\r\n|\r\n", "");
        }

        @Test
        void testARefusalIsServed() throws Exception {
            script.add(early("413 Too Large", "too large", READS_ON));

            String answer = exchange("/unsafe/x");

            assertTrue(answer.startsWith("HTTP/1.1 413") && answer.endsWith("too large"), answer);
        }
    }

    /** Forms of the lines of a head. */
    @Nested
    final class Heads {
        private static final String SIGNED = "X-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n";

        private static final List<String> STATUS_LINES = List.of(
                "HTTP/1.1 200 OK",
                "HTTP/1.0 200 OK",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200",
                "HTTP/1.1 200  two blanks before",
                "HTTP/1.1 200 Everything: is (quite) fine \t!",
                "HTTP/1.1 200 Größe",
                "HTTP/1.1 200 404 Not Found");

        /** Lines, and the fields that the caller gets. */
        private static final Map<String, String> FIELDS = Map.of(
                "X-Odd:v", "X-Odd: v",
                "X-Odd: v", "X-Odd: v",
                "X-Odd:  \t v \t ", "X-Odd: v",
                "X-Odd:", "X-Odd: ",
                "X-Odd: ", "X-Odd: ",
                "X-Odd: a: b", "X-Odd: a: b",
                "X-Odd: a \t b", "X-Odd: a \t b",
                "X-Odd: (\"quoted\", <all>; x=y)", "X-Odd: (\"quoted\", <all>; x=y)",
                "!#$%&'*+-.^_`|~09azAZ: v", "!#$%&'*+-.^_`|~09azAZ: v");

        private String exchange(String head) throws IOException {
            script.add((request, socket) -> {
                readUpload(socket);
                ScriptedEndpoint.write(
                        socket,
                        head.replace("{id}", request.header("x-attempt-id")) + "Content-Length: " + BODY.length()
                                + "\r\n\r\n" + BODY);
                return false;
            });
            return SoundResponsesTest.this.exchange("/unsafe/x");
        }

        @Test
        void testStatusLinesAreAccepted() throws Exception {
            for (String line : STATUS_LINES) {
                String answer = exchange(line + "\r\n" + SIGNED);

                assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith(BODY), line + " -> " + answer);
            }
        }

        @Test
        void testFieldsArePassedOn() throws Exception {
            for (Map.Entry<String, String> field : FIELDS.entrySet()) {
                String line = field.getKey();

                String answer = exchange("HTTP/1.1 200 OK\r\n" + line + "\r\n" + SIGNED);

                assertTrue(answer.contains("\r\n" + field.getValue() + "\r\n"), line + " -> " + answer);
                assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith(BODY), line + " -> " + answer);
            }
        }

        @Test
        void testInterimResponsesAreSkipped() throws Exception {
            String answer = exchange("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
                    + "HTTP/1.1 200 OK\r\n" + SIGNED);

            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith(BODY), answer);
        }
    }
}
