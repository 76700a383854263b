package org.jasminehub.standin;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;

/** Passes elements through unchanged and runs an action when the downstream cancels before the stream has completed. */
final class CancellationCounter<T> extends GraphStage<FlowShape<T, T>> {
    private final Inlet<T> in = Inlet.create("CancellationCounter.in");
    private final Outlet<T> out = Outlet.create("CancellationCounter.out");
    private final Runnable onCancel;

    CancellationCounter(Runnable onCancel) {
        this.onCancel = onCancel;
    }

    @Override
    public FlowShape<T, T> shape() {
        return FlowShape.of(in, out);
    }

    @Override
    public GraphStageLogic createLogic(Attributes inheritedAttributes) {
        return new GraphStageLogic(shape()) {
            {
                setHandler(in, new AbstractInHandler() {
                    @Override
                    public void onPush() {
                        push(out, grab(in));
                    }
                });
                setHandler(out, new AbstractOutHandler() {
                    @Override
                    public void onPull() {
                        pull(in);
                    }

                    @Override
                    public void onDownstreamFinish(Throwable cause) {
                        onCancel.run();
                        cancelStage(cause);
                    }
                });
            }
        };
    }
}
