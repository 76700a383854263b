package org.jasminehub.entry.relay;

import java.time.Duration;
import org.apache.pekko.NotUsed;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.entry.filter.Failures;
import org.jasminehub.entry.filter.Problem;

/** Gives chunks the form of server-sent events. */
final class EventStreams {
    private static final ByteString DATA_PREFIX = ByteString.fromString("data: ");
    private static final ByteString EVENT_END = ByteString.fromString("\n\n");
    private static final ByteString STREAM_END = ByteString.fromString("data: [DONE]\n\n");

    private static final Duration CUT_DELAY = Duration.ofMillis(100);

    private EventStreams() {}

    /**
     * Returns one event for each chunk and a closing {@code [DONE]}. A stream that fails shows the failure as an event
     * of type {@code error} and then breaks off, so that nobody takes a cut for an end.
     */
    static Source<ByteString, NotUsed> toEventStream(Source<ByteString, NotUsed> chunks) {
        return chunks.map(data -> DATA_PREFIX.concat(data).concat(EVENT_END))
                .concat(Source.single(STREAM_END))
                .recoverWithRetries(
                        1,
                        new PFBuilder<Throwable, Source<ByteString, NotUsed>>()
                                .matchAny(EventStreams::errorThenCut)
                                .build());
    }

    private static Source<ByteString, NotUsed> errorThenCut(Throwable failure) {
        RequestException known = Failures.toRequestException(failure);
        ByteString event =
                ByteString.fromString("event: error\ndata: " + Problem.of(known).toJson() + "\n\n");
        return Source.single(event).concat(failLater(known));
    }

    /** The server drops what it has not yet written when a stream fails, so the failure follows the event at a distance. */
    private static Source<ByteString, NotUsed> failLater(RequestException failure) {
        return Source.tick(CUT_DELAY, CUT_DELAY, EVENT_END)
                .<ByteString>map(ignored -> {
                    throw failure;
                })
                .mapMaterializedValue(ignored -> NotUsed.getInstance());
    }
}
