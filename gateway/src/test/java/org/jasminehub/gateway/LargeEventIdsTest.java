package org.jasminehub.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against resumed streams that repeat events because the id of the last event was rounded or saturated on its way
 * to the endpoint.
 */
final class LargeEventIdsTest extends GatewayFixture {
    private static final int PIECES = 9;

    private static final Pattern PIECE = Pattern.compile("data: p([0-9]+)\n");

    /** The headers {@code Last-Event-Id} in the order in which endpoints received them. */
    private final Queue<String> resumedAfter = new ConcurrentLinkedQueue<>();

    /** Returns a reply with all pieces after the last event, up to {@code lastPiece}; it is cut unless that is the end. */
    private ScriptedEndpoint.Reply pieces(BigInteger firstId, int lastPiece) {
        return (request, socket) -> {
            String after = request.header("last-event-id");
            resumedAfter.add(after);
            int known = IntStream.rangeClosed(1, PIECES)
                    .filter(piece -> id(firstId, piece).equals(after))
                    .findFirst()
                    .orElse(0);
            StringBuilder body = new StringBuilder("HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                    + request.header("x-attempt-id")
                    + "\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n");
            for (int piece = known + 1; piece <= lastPiece; piece++) {
                String event = "id: " + id(firstId, piece) + "\ndata: p" + piece + "\n\n";
                body.append(Integer.toHexString(event.length()))
                        .append("\r\n")
                        .append(event)
                        .append("\r\n");
            }
            boolean isEnd = lastPiece == PIECES;
            ScriptedEndpoint.write(socket, body + (isEnd ? "0\r\n\r\n" : ""));
            return isEnd;
        };
    }

    private static String id(BigInteger firstId, int piece) {
        return firstId.add(BigInteger.valueOf(piece - 1)).toString();
    }

    private static String resumed(String requestId, String lastEventId) {
        return stream(requestId).replaceFirst("\r\n", "\r\nLast-Event-Id: " + lastEventId + "\r\n");
    }

    private static List<Integer> piecesIn(String answer) {
        List<Integer> pieces = new ArrayList<>();
        Matcher matcher = PIECE.matcher(answer);
        while (matcher.find()) {
            pieces.add(Integer.valueOf(matcher.group(1)));
        }
        return pieces;
    }

    private static List<Integer> range(int from, int to) {
        return IntStream.rangeClosed(from, to).boxed().toList();
    }

    private static void assertComplete(String answer) {
        assertTrue(answer.endsWith("0\r\n\r\n"), answer);
    }

    /** Streams whose ids pass 2^53, 2^63 and 2^64, and ids of more than 64 bits. */
    @Nested
    final class Resumptions {
        private final List<BigInteger> firstIds = Stream.of(
                        "1",
                        "9007199254740990",
                        "7345678901234567890",
                        "9223372036854775802",
                        "9223372036854775808",
                        "18446744073709551610",
                        "340282366920938463463374607431768211450")
                .map(BigInteger::new)
                .toList();

        @Test
        void testAStreamResumedByTheCallerHasEachPieceOnce() throws Exception {
            serveWithOneEndpoint();
            for (BigInteger firstId : firstIds) {
                for (int last = 1; last < PIECES; last++) {
                    script.add(pieces(firstId, PIECES));

                    String answer = gateway.exchange(resumed("r-" + firstId + "-" + last, id(firstId, last)));

                    assertEquals(range(last + 1, PIECES), piecesIn(answer), answer);
                    assertComplete(answer);
                    assertEquals(id(firstId, last), resumedAfter.remove());
                }
            }
        }

        @Test
        void testAStreamResumedByTheInstanceHasEachPieceOnce() throws Exception {
            serveWithBothEndpoints();
            for (BigInteger firstId : firstIds) {
                script.add(pieces(firstId, 5));
                script.add(pieces(firstId, PIECES));

                String answer = gateway.exchange(stream("r-" + firstId));

                assertEquals(range(1, PIECES), piecesIn(answer), answer);
                assertComplete(answer);
            }
        }

        @Test
        void testAStreamResumedByBothHasEachPieceOnce() throws Exception {
            serveWithBothEndpoints();
            for (BigInteger firstId : firstIds) {
                script.add(pieces(firstId, 6));
                script.add(pieces(firstId, PIECES));

                String answer = gateway.exchange(resumed("r-" + firstId, id(firstId, 3)));

                assertEquals(range(4, PIECES), piecesIn(answer), answer);
                assertComplete(answer);
            }
        }
    }

    /** Ids that a caller states when it resumes a stream. */
    @Nested
    final class StatedIds {
        @Test
        void testAnIdThatIsNoWholeNumberIsRejected() throws Exception {
            serveWithOneEndpoint();
            for (String id : List.of("NaN", "Infinity", "12.5", "12.0", "1e3", "1e400", "0x1p4", "12d", "+12", "1 2")) {
                String answer = gateway.exchange(resumed("r-1", id));

                assertTrue(answer.startsWith("HTTP/1.1 400") && answer.contains("Last-Event-Id"), answer);
            }
            assertEquals(0, requests());
        }

        @Test
        void testAWholeNumberReachesTheEndpointAsItCame() throws Exception {
            serveWithOneEndpoint();
            for (String id : List.of("0", "007", "-3", "18446744073709551616", "99999999999999999999")) {
                script.add((request, socket) -> {
                    resumedAfter.add(request.header("last-event-id"));
                    ScriptedEndpoint.write(
                            socket,
                            "HTTP/1.1 400 Bad Request\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                                    + "\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n");
                    return true;
                });

                gateway.exchange(resumed("r-" + id, id));

                assertEquals(id, resumedAfter.remove());
            }
        }
    }
}
