package org.jasminehub.entry.relay;

import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.Done;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.SourceShape;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.jasminehub.core.error.RequestException;
import org.jspecify.annotations.Nullable;

/**
 * Emits the chunks of a response one at a time on demand, and continues with another attempt if one fails.
 *
 * <p>The first attempt must have received its head. The {@code resume} function starts another attempt, given the
 * failure and the number of chunks already emitted.
 */
final class ResponseStage extends GraphStage<SourceShape<ByteString>> {
    private final Outlet<ByteString> out = Outlet.create("AnswerStage.out");
    private final Attempt first;
    private final Function<ResponseInterruption, CompletionStage<Attempt>> resume;

    ResponseStage(Attempt first, Function<ResponseInterruption, CompletionStage<Attempt>> resume) {
        this.first = first;
        this.resume = resume;
    }

    @Override
    public SourceShape<ByteString> shape() {
        return SourceShape.of(out);
    }

    @Override
    public GraphStageLogic createLogic(Attributes inheritedAttributes) {
        return new Logic();
    }

    /** The result of {@code resume}: either an attempt or a failure. */
    private record Resumed(
            @Nullable Attempt attempt, @Nullable Throwable failure) {}

    private final class Logic extends GraphStageLogic {
        private Attempt attempt = first;
        private int emittedChunks;
        private boolean resuming;
        private AsyncCallback<Done> signalArrived = createAsyncCallback(ignored -> emitNext());
        private AsyncCallback<Resumed> resumed = createAsyncCallback(this::onResumed);

        Logic() {
            super(shape());
            setHandler(out, new AbstractOutHandler() {
                @Override
                public void onPull() {
                    emitNext();
                }

                @Override
                public void onDownstreamFinish(Throwable cause) {
                    attempt.cancel();
                    cancelStage(cause);
                }
            });
        }

        @Override
        public void preStart() {
            listenToAttempt();
        }

        @Override
        public void postStop() {
            attempt.cancel();
        }

        private void listenToAttempt() {
            attempt.setSignalListener(() -> signalArrived.invoke(Done.getInstance()));
        }

        private void emitNext() {
            if (resuming || !isAvailable(out)) {
                return;
            }
            ResponseSignal signal = attempt.poll();
            if (signal instanceof ResponseSignal.Chunk chunk) {
                emittedChunks++;
                push(out, ByteString.fromByteBuffer(chunk.data().asReadOnlyByteBuffer()));
            } else if (signal instanceof ResponseSignal.End) {
                completeStage();
            } else if (signal instanceof ResponseSignal.Failed failed) {
                startResume(failed.failure());
            }
        }

        private void startResume(RequestException failure) {
            resuming = true;
            resume.apply(new ResponseInterruption(failure, emittedChunks))
                    .whenComplete((next, problem) -> resumed.invoke(new Resumed(next, problem)));
        }

        private void onResumed(Resumed result) {
            resuming = false;
            if (result.attempt() == null) {
                failStage(result.failure());
                return;
            }
            attempt = result.attempt();
            listenToAttempt();
            emitNext();
        }
    }
}
