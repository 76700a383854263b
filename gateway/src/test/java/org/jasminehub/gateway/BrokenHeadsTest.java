package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jasminehub.gateway.net.BufferedHttpClient;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.platform.PlatformException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses that reach a caller as whole and successful although the endpoint closed the connection in
 * the middle of their head.
 */
final class BrokenHeadsTest extends GatewayFixture {
    private static final String LENGTH = "Content-Length: 4\r\n";
    private static final String CHUNKS = "Transfer-Encoding: chunked\r\n";
    private static final String NO_FRAMING = "";

    /** More than the number of times that a call is sent. */
    private static final int MAX_SENDS = 4;

    private static String head(String id, String headers) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n"
                + "Content-Type: text/event-stream\r\n" + headers + "\r\n";
    }

    /** Returns a reply with the first {@code length} bytes of {@code text}, after which it closes the connection. */
    private static ScriptedEndpoint.Reply cut(String text, int length, boolean isReset) {
        return (request, socket) -> {
            ScriptedEndpoint.write(socket, text.substring(0, length));
            return isReset && ScriptedEndpoint.reset().answer(request, socket);
        };
    }

    private interface Request {
        String text(String id);
    }

    private void assertNoSuccess(Request request, String headers, boolean isReset) throws IOException {
        serveWithBothEndpoints();
        int length = head("r-100", headers).length();
        for (int position = 0; position < length; position++) {
            String id = "r-" + (100 + position);
            script.clear();
            script.addAll(Collections.nCopies(MAX_SENDS, cut(head(id, headers), position, isReset)));

            String answer = gateway.exchange(request.text(id));

            assertTrue(answer.startsWith("HTTP/1.1 502"), "head of " + position + " bytes: " + answer);
        }
    }

    /** Responses to calls. */
    @Nested
    final class Calls {
        @ParameterizedTest
        @ValueSource(strings = {LENGTH, CHUNKS, NO_FRAMING})
        void testAnUnsafeCallFails(String headers) throws Exception {
            assertNoSuccess(GatewayFixture::unsafe, headers, false);
        }

        @ParameterizedTest
        @ValueSource(strings = {LENGTH, CHUNKS, NO_FRAMING})
        void testAnUnsafeCallFailsIfTheConnectionIsReset(String headers) throws Exception {
            assertNoSuccess(GatewayFixture::unsafe, headers, true);
        }

        @ParameterizedTest
        @ValueSource(strings = {LENGTH, CHUNKS, NO_FRAMING})
        void testAStreamFails(String headers) throws Exception {
            assertNoSuccess(GatewayFixture::stream, headers, false);
        }
    }

    /** Responses to the requests of instances and rank agents to engines and the store. */
    @Nested
    final class Reports {
        @ParameterizedTest
        @ValueSource(strings = {LENGTH, CHUNKS, NO_FRAMING})
        void testAReportFails(String headers) {
            EventLoop loop = gateway.entry().client().loop();
            BufferedHttpClient client = new BufferedHttpClient(
                    gateway.entry().client(), new EndpointAddress("127.0.0.1", endpointOne.port()), "engine");
            String head = head("", headers);
            for (int position = 0; position < head.length(); position++) {
                script.add(cut(head, position, false));

                CompletionException failure = assertThrows(
                        CompletionException.class,
                        () -> CompletableFuture.supplyAsync(
                                        () -> client.call("GET", "/report", "application/json", new byte[0], 15_000),
                                        loop)
                                .thenCompose(response -> response)
                                .join());

                assertInstanceOf(PlatformException.class, failure.getCause());
            }
            assertEquals(head.length(), List.copyOf(endpointOne.requests()).size());
        }
    }
}
