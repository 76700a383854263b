package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.gateway.call.AttemptFailed;
import org.jasminehub.gateway.net.BufferedHttpClient;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.platform.PlatformException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against responses that reach a caller although a line of their head is none of the protocol: with that line
 * repaired, cut short or dropped, or with a body whose length was read from it.
 */
final class InvalidHeadsTest extends SilentStreamFixture {
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String PLAIN_BODY = "four";
    private static final String EVENT = "id: 3\ndata: e3\n\n";

    /** More than the calls that earn one retry. */
    private static final int CALLS_PER_RETRY = 10;

    /** Fields of every response; names in braces stand for values of the request and of the body. */
    private static final String SIGNED = "X-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n";

    private static final String WITH_LENGTH = "Content-Length: {length}\r\n\r\n{body}";
    private static final String IN_CHUNKS = "Transfer-Encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\n\r\n";
    private static final String UNFRAMED = "\r\n{body}";

    private static final List<String> STATUS_LINES = List.of(
            "HTTP/1.1 000 Zero",
            "HTTP/1.1 000",
            "HTTP/1.1 0 Zero",
            "HTTP/1.1 0200 OK",
            "HTTP/1.1 +200 OK",
            "HTTP/1.1 099 X",
            "HTTP/1.1 2000 OK",
            "HTTP/1.1  200 OK",
            "HTTP/1.1\t200 OK",
            " HTTP/1.1 200 OK",
            "\r\nHTTP/1.1 200 OK",
            "HTTP/1.1 200 O\u0000K",
            "HTTP/2.0 200 OK");

    private static final List<String> FIELDS = List.of(
            "X Odd: v",
            "X-Odd : v",
            "X-Odd\t: v",
            "X\tOdd: v",
            " X-Odd: v",
            "\tX-Odd: v",
            "X-Odd",
            "X-Odd ",
            "X\u0000Odd: v",
            "X\u0001Odd: v",
            "X-Odd\u000b: v",
            "X\u007fOdd: v",
            "X\rOdd: v",
            "Content Length: 1",
            " Content-Length: 1",
            "Transfer Encoding: chunked");

    /** Returns responses to which a call may not be answered. */
    static List<String> responses() {
        List<String> result = new ArrayList<>();
        for (String line : STATUS_LINES) {
            result.add(line + "\r\n" + SIGNED + WITH_LENGTH);
            result.add(line + "\r\n" + SIGNED + IN_CHUNKS);
            result.add(line + "\r\n" + SIGNED + UNFRAMED);
            result.add("HTTP/1.1 103 Early Hints\r\n\r\n" + line + "\r\n" + SIGNED + WITH_LENGTH);
        }
        for (String line : FIELDS) {
            result.add("HTTP/1.1 200 OK\r\n" + SIGNED + line + "\r\n" + WITH_LENGTH);
            result.add("HTTP/1.1 200 OK\r\n" + line + "\r\n" + SIGNED + IN_CHUNKS);
            result.add("HTTP/1.1 200 OK\r\n" + SIGNED + line + "\r\n" + UNFRAMED);
            result.add("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + SIGNED + WITH_LENGTH);
            result.add("HTTP/1.1 200 OK\r\n" + SIGNED
                    + IN_CHUNKS.replace("0\r\n\r\n", "0\r\nX-Even: v\r\n" + line + "\r\n\r\n"));
        }
        // A length or a coding with such a name is no framing, and the body that it frames is not the endpoint's.
        result.add("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length : 1\r\n" + UNFRAMED);
        result.add("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length\t: 1\r\n" + UNFRAMED);
        result.add("HTTP/1.1 200 OK\r\n" + SIGNED + "Transfer-Encoding : chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\n\r\n");
        result.add("HTTP/1.1 200 OK\r\n" + SIGNED + "Transfer-Encoding\t: chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\n\r\n");
        return result;
    }

    private static ScriptedEndpoint.Reply reply(String response, String body) {
        return (request, socket) -> {
            ScriptedEndpoint.write(
                    socket,
                    response.replace("{id}", request.header("x-attempt-id"))
                            .replace("{length}", Integer.toString(body.length()))
                            .replace("{hex}", Integer.toHexString(body.length()))
                            .replace("{body}", body));
            return false;
        };
    }

    /** Answers to callers; each test lists the responses that reached one. */
    @Nested
    final class Calls {
        private final List<String> delivered = new ArrayList<>();
        private int calls;

        private String nextId() {
            calls++;
            return "r-" + calls;
        }

        /** Makes calls that succeed, since retries are limited to a share of all calls. */
        private void earnRetry() throws IOException {
            for (int call = 0; call < CALLS_PER_RETRY; call++) {
                script.add(ScriptedEndpoint.ok("done"));
                gateway.exchange(safe(nextId()));
            }
        }

        private void recordUnless(boolean isHandled, String response, String answer) {
            if (!isHandled) {
                delivered.add(response + " -> " + answer);
            }
        }

        private List<AttemptEnd> failures(String id) {
            return gateway.callEvents(id).stream()
                    .filter(AttemptFailed.class::isInstance)
                    .map(event -> ((AttemptFailed) event).end())
                    .toList();
        }

        @Test
        void testAnUnsafeCallFailsAndIsNotSentAgain() throws Exception {
            serveWithBothEndpoints();
            for (String response : responses()) {
                String id = nextId();
                script.add(reply(response, PLAIN_BODY));

                String answer = gateway.exchange(unsafe(id));

                recordUnless(
                        answer.startsWith("HTTP/1.1 502")
                                && requests() == calls
                                && failures(id).equals(List.of(AttemptEnd.MAY_HAVE_RUN)),
                        response,
                        answer);
            }
            assertEquals(List.of(), delivered);
        }

        @Test
        void testASafeCallIsServedByTheOtherEndpoint() throws Exception {
            serveWithBothEndpoints();
            for (String response : responses()) {
                script.clear();
                earnRetry();
                String id = nextId();
                script.add(reply(response, PLAIN_BODY));
                script.add(ScriptedEndpoint.ok("done"));

                String answer = gateway.exchange(safe(id));

                recordUnless(
                        answer.startsWith("HTTP/1.1 200")
                                && answer.endsWith("done")
                                && failures(id).equals(List.of(AttemptEnd.MAY_HAVE_RUN)),
                        response,
                        answer);
            }
            assertEquals(List.of(), delivered);
        }

        @Test
        void testAStreamDoesNotBeginWithIt() throws Exception {
            serveWithBothEndpoints();
            for (String response : responses()) {
                script.clear();
                script.addAll(Collections.nCopies(MAX_SENDS, reply(response, EVENT)));

                String answer = gateway.exchange(stream(nextId()));

                recordUnless(!answer.endsWith(LAST_CHUNK), response, answer);
            }
            assertEquals(List.of(), delivered);
        }

        @Test
        void testAStreamDoesNotGoOnWithIt() throws Exception {
            serveWithBothEndpoints();
            for (String response : responses()) {
                script.clear();
                script.add((request, socket) -> {
                    head(request, socket);
                    events(socket, 1, 2);
                    return false;
                });
                script.addAll(Collections.nCopies(MAX_SENDS, reply(response, EVENT)));

                String answer = gateway.exchange(stream(nextId()));

                recordUnless(answer.startsWith("HTTP/1.1 200") && !answer.endsWith(LAST_CHUNK), response, answer);
            }
            assertEquals(List.of(), delivered);
        }
    }

    /** Responses to the requests of instances and rank agents to engines and the store. */
    @Nested
    final class Reports {
        @Test
        void testAReportFails() {
            EventLoop loop = gateway.entry().client().loop();
            BufferedHttpClient client = new BufferedHttpClient(
                    gateway.entry().client(), new EndpointAddress("127.0.0.1", endpointOne.port()), "engine");
            List<String> accepted = new ArrayList<>();
            for (String response : responses()) {
                script.add(reply(response, PLAIN_BODY));
                CompletableFuture.supplyAsync(
                                () -> client.call("GET", "/report", "application/json", new byte[0], 15_000), loop)
                        .thenCompose(result -> result)
                        .handle((result, failure) -> {
                            if (!(failure instanceof CompletionException
                                    && failure.getCause() instanceof PlatformException)) {
                                accepted.add(response);
                            }
                            return result;
                        })
                        .join();
            }
            assertEquals(List.of(), accepted);
            assertEquals(responses().size(), requests());
        }
    }
}
