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
 * A call at the agent, from its arrival to its end.
 *
 * <p>It counts the credit of the entry instance and remembers a cancellation, so a filter may hold it before the
 * endpoint takes it over. Safe for use by several threads.
 */
public final class AgentCall {
    private final IncomingCall incoming;
    private final long arrivedMillis;
    private final List<Consumer<CallResult>> endListeners = new ArrayList<>();

    private long credit;
    private @Nullable CallResult result;
    private Runnable wakeUp = () -> {};

    /** Takes over {@code incoming}, which arrived at {@code arrivedMillis} of the process's monotonic clock. */
    public AgentCall(IncomingCall incoming, long arrivedMillis) {
        this.incoming = incoming;
        this.arrivedMillis = arrivedMillis;
        this.credit = incoming.start().getInitialCredit();
        incoming.listen(new CallListener() {
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

    /** Returns what the entry instance asked for. */
    public CallStart start() {
        return incoming.start();
    }

    /** Returns when the call arrived, by the process's monotonic clock. */
    public long arrivedMillis() {
        return arrivedMillis;
    }

    /** Returns when the request is of no use any more, by the process's monotonic clock. */
    public long deadlineMillis() {
        return arrivedMillis + Integer.toUnsignedLong(start().getRemainingMillis());
    }

    /** Calls {@code listener} once when the call ends, at once if it has ended. */
    public void whenEnded(Consumer<CallResult> listener) {
        CallResult known;
        synchronized (this) {
            known = result;
            if (known == null) {
                endListeners.add(listener);
            }
        }
        if (known != null) {
            listener.accept(known);
        }
    }

    /** Sets what runs whenever credit arrives or the call ends; it must not block. */
    public synchronized void onChange(Runnable newWakeUp) {
        wakeUp = newWakeUp;
    }

    /** Returns whether the call has ended. */
    public synchronized boolean hasEnded() {
        return result != null;
    }

    /** Takes credit for one chunk; returns false where there is none. */
    public synchronized boolean takeCredit() {
        if (credit == 0) {
            return false;
        }
        credit--;
        return true;
    }

    /** Sends the head of the answer. */
    public void head(int status, List<Header> headers) {
        incoming.head(status, headers);
    }

    /** Sends one chunk, for which credit was taken. */
    public void chunk(ByteString data) {
        incoming.chunk(data);
    }

    /** Ends a whole answer. */
    public void end() {
        incoming.end();
        finish(CallResult.ANSWERED);
    }

    /** Ends the call with a failure; {@code retryAfterMillis} is negative where coming back makes no difference. */
    public void refuse(ErrorCode code, Outcome outcome, long retryAfterMillis, String message) {
        refuse(AnswerRefused.newBuilder()
                .setCode(code.code())
                .setOutcome(outcome.label())
                .setRetryAfterMillis(retryAfterMillis)
                .setMessage(message));
    }

    /** Ends the call with a failure that is already in the form of a message. */
    public void refuse(AnswerRefused.Builder refusal) {
        incoming.refuse(refusal);
        finish(CallResult.REFUSED);
    }

    private void addCredit(int chunks) {
        Runnable present;
        synchronized (this) {
            credit += Integer.toUnsignedLong(chunks);
            present = wakeUp;
        }
        present.run();
    }

    private void finish(CallResult newResult) {
        List<Consumer<CallResult>> listeners;
        Runnable present;
        synchronized (this) {
            if (result != null) {
                return;
            }
            result = newResult;
            listeners = List.copyOf(endListeners);
            present = wakeUp;
        }
        present.run();
        listeners.forEach(listener -> listener.accept(newResult));
    }
}
