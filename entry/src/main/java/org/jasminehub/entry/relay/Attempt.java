package org.jasminehub.entry.relay;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.Cancellable;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.endpoint.EndpointLink;
import org.jasminehub.wire.OutgoingCall;
import org.jasminehub.wire.ResponseListener;
import org.jasminehub.wire.generated.AnswerChunk;
import org.jasminehub.wire.generated.AnswerEnd;
import org.jasminehub.wire.generated.AnswerHead;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.CallStart;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to run a request at one endpoint: receives the head of the response and then its signals in order.
 *
 * <p>Chunks are queued until they are polled. The endpoint sends no more chunks than it has credit for, so the initial
 * credit bounds the queue. Thread-safe.
 */
final class Attempt implements ResponseListener {
    private static final long RETRY_AFTER_MILLIS = 200;

    private final EndpointLink link;
    private final int number;
    private final double estimateMillis;
    private final Clock clock;
    private final long startedMillis;
    private final CompletableFuture<AnswerHead> head = new CompletableFuture<>();
    private final Queue<ResponseSignal> signals = new ArrayDeque<>();
    private Runnable signalListener = () -> {};
    private @Nullable Cancellable deadline;
    private int receivedChunks;
    private boolean ended;
    private @Nullable OutgoingCall call;

    private Attempt(EndpointLink link, int number, double estimateMillis, Clock clock) {
        this.link = link;
        this.number = number;
        this.estimateMillis = estimateMillis;
        this.clock = clock;
        this.startedMillis = clock.monotonicMillis();
    }

    /**
     * Starts an attempt.
     *
     * @param link the connection to the endpoint's agent
     * @param start the message to send
     * @param workTokens the expected cost of the request
     * @param estimateMillis the expected time to the first token, or 0 if there is no estimate
     * @param clock the clock
     */
    static Attempt start(
            EndpointLink link, CallStart.Builder start, long workTokens, double estimateMillis, Clock clock) {
        Attempt attempt = new Attempt(link, start.getAttempt(), estimateMillis, clock);
        OutgoingCall call = link.call(start, workTokens, attempt);
        synchronized (attempt) {
            attempt.call = call;
        }
        return attempt;
    }

    /** Fails the attempt after {@code millis} unless it has ended or {@link #cancelDeadline} was called before. */
    void startDeadline(long millis, DelayedExecutor delays) {
        Cancellable timer = delays.execute(this::expire, millis);
        synchronized (this) {
            deadline = timer;
        }
    }

    /** Cancels the deadline, so that a response that has begun may continue beyond it. */
    void cancelDeadline() {
        Cancellable timer;
        synchronized (this) {
            timer = deadline;
        }
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Returns a stage that completes with the head, or with a {@link RequestException} if no head arrives. */
    CompletionStage<AnswerHead> head() {
        return head;
    }

    /** Sets the listener that is called when a signal arrives. It must not block. */
    synchronized void setSignalListener(Runnable newListener) {
        signalListener = newListener;
    }

    /**
     * Returns the next signal, or null if there is none. Polling a chunk grants the endpoint credit for another one.
     */
    @Nullable
    ResponseSignal poll() {
        ResponseSignal signal;
        OutgoingCall currentCall;
        synchronized (this) {
            signal = signals.poll();
            currentCall = call;
        }
        if (signal instanceof ResponseSignal.Chunk && currentCall != null) {
            currentCall.credit(1);
        }
        return signal;
    }

    /** Cancels the call at the endpoint and ends the attempt. */
    void cancel() {
        OutgoingCall currentCall;
        synchronized (this) {
            currentCall = call;
        }
        if (currentCall != null) {
            currentCall.cancel();
        }
        finish(null);
    }

    @Override
    public void onHead(AnswerHead answerHead) {
        head.complete(answerHead);
    }

    @Override
    public void onChunk(AnswerChunk chunk) {
        if (chunk.getAttempt() != number || chunk.getSequence() != receivedChunks) {
            fail(new RequestException(
                    ErrorCode.PROTOCOL_VIOLATION, Outcome.UNKNOWN, "chunk " + chunk.getSequence() + " out of order"));
            return;
        }
        if (receivedChunks == 0) {
            link.recordFirstToken(estimateMillis, clock.monotonicMillis() - startedMillis);
        }
        receivedChunks++;
        offer(new ResponseSignal.Chunk(chunk.getData()));
    }

    @Override
    public void onEnd(AnswerEnd end) {
        if (end.getChunks() == receivedChunks) {
            finish(new ResponseSignal.End());
            return;
        }
        fail(new RequestException(
                ErrorCode.ANSWER_CUT,
                Outcome.UNKNOWN,
                "received " + receivedChunks + " of " + end.getChunks() + " chunks"));
    }

    @Override
    public void onRefused(AnswerRefused refusal) {
        fail(new RequestException(
                ErrorCode.of(refusal.getCode()),
                Outcome.of(refusal.getOutcome()),
                refusal.getRetryAfterMillis(),
                refusal.getMessage()));
    }

    @Override
    public void onConnectionLost(boolean sent) {
        Outcome outcome = sent ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        fail(new RequestException(
                ErrorCode.ENDPOINT_FAILED, outcome, RETRY_AFTER_MILLIS, "the connection to " + link.id() + " failed"));
    }

    private void expire() {
        fail(new RequestException(ErrorCode.DEADLINE_EXCEEDED, Outcome.UNKNOWN, "the deadline passed at " + link.id()));
        cancel();
    }

    private void fail(RequestException failure) {
        head.completeExceptionally(failure);
        finish(new ResponseSignal.Failed(failure));
    }

    private void finish(@Nullable ResponseSignal last) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            if (last != null) {
                signals.add(last);
            }
        }
        link.callEnded();
        recordResult(last);
        cancelDeadline();
        notifySignalListener();
    }

    private void recordResult(@Nullable ResponseSignal last) {
        if (last instanceof ResponseSignal.End) {
            link.recordAttempt(true);
        } else if (last instanceof ResponseSignal.Failed failed
                && failed.failure().outcome() == Outcome.UNKNOWN) {
            link.recordAttempt(false);
        }
    }

    private void offer(ResponseSignal signal) {
        synchronized (this) {
            if (ended) {
                return;
            }
            signals.add(signal);
        }
        notifySignalListener();
    }

    private void notifySignalListener() {
        Runnable currentListener;
        synchronized (this) {
            currentListener = signalListener;
        }
        currentListener.run();
    }
}
