package org.jasminehub.agent.engine;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.Done;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.SinkShape;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.stream.stage.GraphStageWithMaterializedValue;
import org.jasminehub.agent.call.AgentCall;
import scala.Tuple2;

/**
 * A sink that sends the elements of a stream as chunks of a call's response.
 *
 * <p>It requests an element only when the call has credit for a chunk, and cancels the stream if the call ends early.
 * The materialized stage completes when the stream ends or is cancelled.
 */
final class CallSink
        extends GraphStageWithMaterializedValue<SinkShape<org.apache.pekko.util.ByteString>, CompletionStage<Done>> {
    private final Inlet<org.apache.pekko.util.ByteString> in = Inlet.create("CallSink.in");
    private final AgentCall call;

    CallSink(AgentCall call) {
        this.call = call;
    }

    @Override
    public SinkShape<org.apache.pekko.util.ByteString> shape() {
        return SinkShape.of(in);
    }

    @Override
    public Tuple2<GraphStageLogic, CompletionStage<Done>> createLogicAndMaterializedValue(
            Attributes inheritedAttributes) {
        CompletableFuture<Done> completion = new CompletableFuture<>();
        return new Tuple2<>(new Logic(completion), completion);
    }

    private final class Logic extends GraphStageLogic {
        private final CompletableFuture<Done> completion;

        Logic(CompletableFuture<Done> completion) {
            super(shape());
            this.completion = completion;
            setHandler(in, new AbstractInHandler() {
                @Override
                public void onPush() {
                    call.chunk(toProtobuf(grab(in)));
                    pullIfCredit();
                }

                @Override
                public void onUpstreamFinish() {
                    completion.complete(Done.getInstance());
                    completeStage();
                }

                @Override
                public void onUpstreamFailure(Throwable failure) {
                    completion.completeExceptionally(failure);
                    failStage(failure);
                }
            });
        }

        @Override
        public void preStart() {
            AsyncCallback<Done> changeCallback = createAsyncCallback(ignored -> onCallChanged());
            call.onChange(() -> changeCallback.invoke(Done.getInstance()));
            onCallChanged();
        }

        private void onCallChanged() {
            if (call.hasEnded()) {
                completion.complete(Done.getInstance());
                cancelStage(new CallEndedException());
                return;
            }
            pullIfCredit();
        }

        private void pullIfCredit() {
            if (!hasBeenPulled(in) && !isClosed(in) && call.takeCredit()) {
                pull(in);
            }
        }
    }

    private static ByteString toProtobuf(org.apache.pekko.util.ByteString data) {
        return UnsafeByteOperations.unsafeWrap(data.toArray());
    }
}
