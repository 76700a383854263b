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
import org.jasminehub.wire.AnswerListener;
import org.jasminehub.wire.OutgoingCall;
import org.jasminehub.wire.generated.AnswerChunk;
import org.jasminehub.wire.generated.AnswerEnd;
import org.jasminehub.wire.generated.AnswerHead;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.CallStart;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of a request at one endpoint: its head, then its signals in order.
 *
 * <p>Chunks wait here until they are polled; the endpoint sends no more than it has credit for, so the queue is bounded
 * by the initial credit. Safe for use by several threads.
 */
final class Attempt implements AnswerListener {
    private static final long RETRY_AFTER_MILLIS = 200;

    private final EndpointLink link;
    private final int number;
    private final double estimateMillis;
    private final Clock clock;
    private final long startedMillis;
    private final CompletableFuture<AnswerHead> head = new CompletableFuture<>();
    private final Queue<AnswerSignal> signals = new ArrayDeque<>();
    private Runnable wakeUp = () -> {};
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
     * Sends {@code start} over {@code link}; {@code workTokens} is what it is expected to cost, {@code estimateMillis} how
     * long its first token is expected to take, 0 where nothing is expected.
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

    /** Ends the attempt after {@code millis} unless it has ended by then or {@link #forgetDeadline} was called. */
    void expireAfter(long millis, DelayedExecutor delays) {
        Cancellable timer = delays.execute(this::expire, millis);
        synchronized (this) {
            deadline = timer;
        }
    }

    /** Lets an answer that has begun go on past the deadline. */
    void forgetDeadline() {
        Cancellable timer;
        synchronized (this) {
            timer = deadline;
        }
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Completes with the head, or with a {@link RequestException} where there is none. */
    CompletionStage<AnswerHead> head() {
        return head;
    }

    /** Sets what runs when a signal arrives; it must not block. */
    synchronized void onSignal(Runnable newWakeUp) {
        wakeUp = newWakeUp;
    }

    /** Returns the next signal, or null where none waits; a chunk that is taken makes room for another. */
    @Nullable
    AnswerSignal poll() {
        AnswerSignal signal;
        OutgoingCall present;
        synchronized (this) {
            signal = signals.poll();
            present = call;
        }
        if (signal instanceof AnswerSignal.Chunk && present != null) {
            present.credit(1);
        }
        return signal;
    }

    /** Tells the endpoint that nobody waits any more. */
    void cancel() {
        OutgoingCall present;
        synchronized (this) {
            present = call;
        }
        if (present != null) {
            present.cancel();
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
        offer(new AnswerSignal.Chunk(chunk.getData()));
    }

    @Override
    public void onEnd(AnswerEnd end) {
        if (end.getChunks() == receivedChunks) {
            finish(new AnswerSignal.End());
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
    public void onLost(boolean sent) {
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
        finish(new AnswerSignal.Failed(failure));
    }

    private void finish(@Nullable AnswerSignal last) {
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
        judge(last);
        forgetDeadline();
        wake();
    }

    private void judge(@Nullable AnswerSignal last) {
        if (last instanceof AnswerSignal.End) {
            link.recordAttempt(true);
        } else if (last instanceof AnswerSignal.Failed failed
                && failed.failure().outcome() == Outcome.UNKNOWN) {
            link.recordAttempt(false);
        }
    }

    private void offer(AnswerSignal signal) {
        synchronized (this) {
            if (ended) {
                return;
            }
            signals.add(signal);
        }
        wake();
    }

    private void wake() {
        Runnable present;
        synchronized (this) {
            present = wakeUp;
        }
        present.run();
    }
}
