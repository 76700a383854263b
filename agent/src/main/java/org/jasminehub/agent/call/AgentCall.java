package org.jasminehub.agent.call;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.wire.CallListener;
import org.jasminehub.wire.IncomingCall;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.Header;
import org.jspecify.annotations.Nullable;

/**
 * A call received from an entry instance, from its arrival to its end.
 *
 * <p>It accumulates the flow-control credit of the entry instance and records a cancellation, so no event is lost while
 * a filter delays the call. Thread-safe.
 */
public final class AgentCall {
    private final IncomingCall incoming;
    private final long arrivedMillis;
    private final List<Consumer<CallResult>> endListeners = new ArrayList<>();

    private long credit;
    private @Nullable CallResult result;
    private Runnable changeListener = () -> {};

    /** Creates a call for {@code incoming}, which arrived at {@code arrivedMillis} by the process's monotonic clock. */
    public AgentCall(IncomingCall incoming, long arrivedMillis) {
        this.incoming = incoming;
        this.arrivedMillis = arrivedMillis;
        this.credit = incoming.start().getInitialCredit();
        incoming.setListener(new CallListener() {
            @Override
            public void onCredit(int chunks) {
                addCredit(chunks);
            }

            @Override
            public void onCancel() {
                finish(CallResult.CANCELLED);
            }
        });
    }

    /** Returns the request of the entry instance. */
    public CallStart start() {
        return incoming.start();
    }

    /** Returns when the call arrived, by the process's monotonic clock. */
    public long arrivedMillis() {
        return arrivedMillis;
    }

    /** Returns the deadline of the request, by the process's monotonic clock. */
    public long deadlineMillis() {
        return arrivedMillis + Integer.toUnsignedLong(start().getRemainingMillis());
    }

    /** Calls {@code listener} once when the call ends, or immediately if it has ended. */
    public void whenEnded(Consumer<CallResult> listener) {
        CallResult currentResult;
        synchronized (this) {
            currentResult = result;
            if (currentResult == null) {
                endListeners.add(listener);
            }
        }
        if (currentResult != null) {
            listener.accept(currentResult);
        }
    }

    /** Sets the action that runs whenever credit arrives or the call ends; it must not block. */
    public synchronized void onChange(Runnable newChangeListener) {
        changeListener = newChangeListener;
    }

    /** Returns whether the call has ended. */
    public synchronized boolean hasEnded() {
        return result != null;
    }

    /** Consumes credit for one chunk; returns false if there is none. */
    public synchronized boolean takeCredit() {
        if (credit == 0) {
            return false;
        }
        credit--;
        return true;
    }

    /** Sends the head of the response. */
    public void head(int status, List<Header> headers) {
        incoming.head(status, headers);
    }

    /** Sends one chunk; the caller must have consumed credit for it with {@link #takeCredit}. */
    public void chunk(ByteString data) {
        incoming.chunk(data);
    }

    /** Ends a complete response. */
    public void end() {
        incoming.end();
        finish(CallResult.ANSWERED);
    }

    /** Ends the call with a failure; {@code retryAfterMillis} is negative if a later retry would not help. */
    public void refuse(ErrorCode code, Outcome outcome, long retryAfterMillis, String message) {
        refuse(AnswerRefused.newBuilder()
                .setCode(code.code())
                .setOutcome(outcome.label())
                .setRetryAfterMillis(retryAfterMillis)
                .setMessage(message));
    }

    /** Ends the call with {@code refusal}. */
    public void refuse(AnswerRefused.Builder refusal) {
        incoming.refuse(refusal);
        finish(CallResult.REFUSED);
    }

    private void addCredit(int chunks) {
        Runnable action;
        synchronized (this) {
            credit += Integer.toUnsignedLong(chunks);
            action = changeListener;
        }
        action.run();
    }

    private void finish(CallResult newResult) {
        List<Consumer<CallResult>> listeners;
        Runnable action;
        synchronized (this) {
            if (result != null) {
                return;
            }
            result = newResult;
            listeners = List.copyOf(endListeners);
            action = changeListener;
        }
        action.run();
        listeners.forEach(listener -> listener.accept(newResult));
    }
}
