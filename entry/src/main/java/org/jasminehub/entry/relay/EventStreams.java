package org.jasminehub.entry.relay;

import java.time.Duration;
import org.apache.pekko.NotUsed;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.entry.filter.Failures;
import org.jasminehub.entry.filter.Problem;

/** Formats chunks as server-sent events. */
final class EventStreams {
    private static final ByteString DATA_PREFIX = ByteString.fromString("data: ");
    private static final ByteString EVENT_END = ByteString.fromString("\n\n");
    private static final ByteString STREAM_END = ByteString.fromString("data: [DONE]\n\n");

    private static final Duration FAILURE_DELAY = Duration.ofMillis(100);

    private EventStreams() {}

    /**
     * Returns one event for each chunk and a final {@code [DONE]} event. If {@code chunks} fails, the returned stream
     * emits an event of type {@code error} and then fails, so that callers cannot mistake an interrupted response for a
     * complete one.
     */
    static Source<ByteString, NotUsed> toEventStream(Source<ByteString, NotUsed> chunks) {
        return chunks.map(data -> DATA_PREFIX.concat(data).concat(EVENT_END))
                .concat(Source.single(STREAM_END))
                .recoverWithRetries(
                        1,
                        new PFBuilder<Throwable, Source<ByteString, NotUsed>>()
                                .matchAny(EventStreams::errorEventThenFailure)
                                .build());
    }

    private static Source<ByteString, NotUsed> errorEventThenFailure(Throwable failure) {
        RequestException known = Failures.toRequestException(failure);
        ByteString event =
                ByteString.fromString("event: error\ndata: " + Problem.of(known).toJson() + "\n\n");
        return Source.single(event).concat(failAfterDelay(known));
    }

    /**
     * Fails after a delay, because the HTTP server discards unwritten data, such as the error event, when a stream
     * fails.
     */
    private static Source<ByteString, NotUsed> failAfterDelay(RequestException failure) {
        return Source.tick(FAILURE_DELAY, FAILURE_DELAY, EVENT_END)
                .<ByteString>map(ignored -> {
                    throw failure;
                })
                .mapMaterializedValue(ignored -> NotUsed.getInstance());
    }
}
