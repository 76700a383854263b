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
 * Emits the chunks of an answer, one at a time as they are wanted; goes on with another attempt where one fails.
 *
 * <p>It takes an attempt whose head has arrived and a function that, given the failure and the number of chunks already
 * emitted, starts another one.
 */
final class AnswerStage extends GraphStage<SourceShape<ByteString>> {
    private final Outlet<ByteString> out = Outlet.create("AnswerStage.out");
    private final Attempt first;
    private final Function<AnswerInterruption, CompletionStage<Attempt>> resume;

    AnswerStage(Attempt first, Function<AnswerInterruption, CompletionStage<Attempt>> resume) {
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

    /** The answer to a resume: an attempt or a failure. */
    private record Resumed(
            @Nullable Attempt attempt, @Nullable Throwable failure) {}

    private final class Logic extends GraphStageLogic {
        private Attempt attempt = first;
        private int emittedChunks;
        private boolean resuming;
        private AsyncCallback<Done> signalled = createAsyncCallback(ignored -> emitNext());
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
            listen();
        }

        @Override
        public void postStop() {
            attempt.cancel();
        }

        private void listen() {
            attempt.onSignal(() -> signalled.invoke(Done.getInstance()));
        }

        private void emitNext() {
            if (resuming || !isAvailable(out)) {
                return;
            }
            AnswerSignal signal = attempt.poll();
            if (signal instanceof AnswerSignal.Chunk chunk) {
                emittedChunks++;
                push(out, ByteString.fromByteBuffer(chunk.data().asReadOnlyByteBuffer()));
            } else if (signal instanceof AnswerSignal.End) {
                completeStage();
            } else if (signal instanceof AnswerSignal.Failed failed) {
                startResume(failed.failure());
            }
        }

        private void startResume(RequestException failure) {
            resuming = true;
            resume.apply(new AnswerInterruption(failure, emittedChunks))
                    .whenComplete((next, problem) -> resumed.invoke(new Resumed(next, problem)));
        }

        private void onResumed(Resumed result) {
            resuming = false;
            if (result.attempt() == null) {
                failStage(result.failure());
                return;
            }
            attempt = result.attempt();
            listen();
            emitNext();
        }
    }
}
