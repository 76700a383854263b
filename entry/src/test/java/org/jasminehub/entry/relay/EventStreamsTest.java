package org.jasminehub.entry.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

final class EventStreamsTest {
    private static ActorSystem<Void> system;

    @BeforeAll
    static void start() {
        system = ActorSystem.create(Behaviors.empty(), "test");
    }

    @AfterAll
    static void stop() {
        system.terminate();
    }

    private static List<String> run(Source<ByteString, NotUsed> chunks, List<String> received) {
        EventStreams.toEventStream(chunks)
                .runWith(Sink.foreach(event -> received.add(event.utf8String())), system)
                .toCompletableFuture()
                .join();
        return received;
    }

    @Test
    void testCompleteStreamEndsWithDoneEvent() {
        Source<ByteString, NotUsed> chunks = Source.from(List.of(ByteString.fromString("{}")));
        assertEquals(List.of("data: {}\n\n", "data: [DONE]\n\n"), run(chunks, new ArrayList<>()));
    }

    @Test
    void testFailureIsSentAsAnEventAndThenFailsTheStream() {
        RequestException interruption = new RequestException(ErrorCode.ANSWER_CUT, Outcome.UNKNOWN, "cut");
        Source<ByteString, NotUsed> chunks =
                Source.single(ByteString.fromString("{}")).concat(Source.failed(interruption));
        List<String> received = new ArrayList<>();
        CompletionException failure = assertThrows(CompletionException.class, () -> run(chunks, received));
        assertInstanceOf(RequestException.class, failure.getCause());
        String last = received.get(received.size() - 1);
        assertTrue(last.startsWith("event: error\n") && last.contains("\"code\":\"answer-cut\""), last);
    }
}
