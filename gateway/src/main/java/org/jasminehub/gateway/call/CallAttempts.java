package org.jasminehub.gateway.call;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import org.jasminehub.core.balance.AttemptEnd;
import org.jasminehub.core.balance.CallRetryPolicy;
import org.jasminehub.core.balance.SilentStreamPolicy;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.ServiceProfile;
import org.jspecify.annotations.Nullable;

/**
 * The attempts of one call, of which at most two are open: the current one and, while a stream has no event from it, a
 * candidate at another endpoint. The first of them that continues the stream becomes or stays the current one, and the
 * other is ended. If the candidate fails, the current one stays open. An endpoint whose attempt was ended here has not
 * failed the call and may get it again.
 */
final class CallAttempts {
    /** Delay before a retry after an engine refused a call; about one or two passes of a group. */
    private static final long REFUSAL_RETRY_DELAY_MILLIS = 150;

    private final RunningCall call;
    private final CallDispatcher dispatcher;
    private final Set<EndpointId> triedEndpoints = new HashSet<>();
    /** The endpoints of ended attempts that may have run the call. */
    private final Set<EndpointId> ranEndpoints = new HashSet<>();

    private final Set<EndpointId> failedEndpoints = new HashSet<>();
    private @Nullable Attempt current;
    private @Nullable Attempt candidate;
    private @Nullable ScheduledFuture<?> delayedRetry;
    private String lastEndpoint = "";
    private int sends;
    private int runs;
    private int failedRuns;

    CallAttempts(RunningCall call) {
        this.call = call;
        this.dispatcher = call.dispatcher();
    }

    Set<EndpointId> triedEndpoints() {
        return triedEndpoints;
    }

    /** Returns how often the call was sent. */
    int sends() {
        return sends;
    }

    /** Returns the number of ended attempts whose endpoints may have run the call without delivering it. */
    int runs() {
        return runs;
    }

    /** Returns whether an endpoint may have run the call or may be running it. */
    boolean mayHaveRun() {
        return runs > 0 || current != null;
    }

    /** Returns whether the call has an attempt whose result is not known yet. */
    boolean isAnyOpen() {
        return current != null;
    }

    boolean isOpenAt(EndpointId endpoint) {
        Attempt open = current;
        return open != null && open.endpoint().id().equals(endpoint);
    }

    /** Returns whether the route allows the call to be sent to {@code endpoint}. */
    boolean mayUse(EndpointId endpoint) {
        boolean isUsed = isOpenAt(endpoint) || ranEndpoints.contains(endpoint);
        return CallRetryPolicy.mayUse(call.route(), usedEndpoints(), isUsed, failedEndpoints.contains(endpoint));
    }

    /** Returns whether some endpoints may not get the call although they may have capacity. */
    boolean isRestricted() {
        return current != null || usedEndpoints() >= call.route().maxAttempts();
    }

    /** Returns the number of endpoints that may have run the call or may be running it, without the candidate's. */
    private int usedEndpoints() {
        Attempt open = current;
        boolean isCounted =
                open == null || ranEndpoints.contains(open.endpoint().id());
        return ranEndpoints.size() + (isCounted ? 0 : 1);
    }

    boolean isCandidate(Attempt attempt) {
        return attempt == candidate;
    }

    /** Returns the endpoint of the current or else of the last attempt, empty if the call was never sent. */
    String lastEndpoint() {
        return lastEndpoint;
    }

    /** Sends the call to {@code endpoint}; as a candidate if an attempt is open. */
    void send(EndpointRecord endpoint) {
        sends++;
        triedEndpoints.add(endpoint.id());
        Attempt next = new Attempt(call, endpoint);
        if (current == null) {
            makeCurrent(next);
        } else {
            candidate = next;
        }
        next.start();
    }

    private void makeCurrent(Attempt attempt) {
        current = attempt;
        candidate = null;
        lastEndpoint = attempt.endpoint().id().value();
    }

    void setReading(boolean isReading) {
        if (current != null) {
            current.setReading(isReading);
        }
        if (candidate != null) {
            candidate.setReading(isReading);
        }
    }

    /** Returns whether the call could be sent again if the current attempt were its only open one and failed now. */
    boolean mayRetryAfterRun() {
        return call.delivered().canContinue()
                && CallRetryPolicy.mayRetry(
                        call.route(), AttemptEnd.MAY_HAVE_RUN, failedRuns + 1, sends, call.remainingMillis())
                && dispatcher.unavailability(call.service()).isEmpty()
                && dispatcher.isAnyPermitted(call.service(), this::mayUse);
    }

    /** Called repeatedly while a stream has no event from {@code silent}; starts a candidate if that is allowed. */
    void onSilent(Attempt silent) {
        if (silent == current && delayedRetry == null && !call.isQueued() && mayStartCandidate()) {
            startCandidate();
        }
    }

    /**
     * Returns whether a candidate may be started now, which uses up part of the retry budget. The engines of a group
     * stall together, so another engine of a stalled group would only get more work. If the caller reads too slowly, the
     * gap is not caused by the endpoint.
     */
    private boolean mayStartCandidate() {
        Attempt silent = current;
        return silent != null
                && !silent.isEnded()
                && candidate == null
                && mayRetryAfterRun()
                && call.answer().isWritable()
                && !dispatcher.isStalled(call.service(), SilentStreamPolicy.STALL_THRESHOLD_MILLIS)
                && !call.identity().isSuspected()
                && call.identity().refusal().isEmpty()
                && dispatcher.tryRetry(call.service());
    }

    private void startCandidate() {
        Attempt silent = current;
        if (silent == null || silent.isEnded()) {
            return;
        }
        Optional<EndpointRecord> endpoint = dispatcher.choose(call);
        if (endpoint.isPresent()) {
            call.send(endpoint.get());
        } else {
            call.waitInQueue(Math.min(call.remainingMillis(), RunningCall.MAX_REQUEUE_WAIT_MILLIS));
        }
    }

    /** Stops waiting for an endpoint for another attempt. */
    private void stopWaiting() {
        if (delayedRetry != null) {
            delayedRetry.cancel(false);
            delayedRetry = null;
        }
        call.leaveQueue();
    }

    /** Called before output of {@code attempt} is delivered to the caller; ends the other open attempt. */
    void onDelivery(Attempt attempt) {
        stopWaiting();
        Attempt silent = current;
        Attempt other = candidate;
        if (attempt == silent && other != null) {
            candidate = null;
            cancel(other);
        } else if (attempt == other && silent != null) {
            makeCurrent(attempt);
            onRun(silent);
            silent.endAsSilent();
        }
    }

    /** Called when the connection of {@code attempt} was cut; no other attempt starts before it has been inspected. */
    void onInspection(Attempt attempt) {
        failedEndpoints.add(attempt.endpoint().id());
        if (attempt == current) {
            stopWaiting();
        }
    }

    /** Called when {@code failed} failed; runs {@code deliverFailure} if no attempt is left and no retry is allowed. */
    void onFailed(Attempt failed, AttemptEnd end, String reason, Runnable deliverFailure) {
        boolean isCandidate = failed == candidate;
        if (failed != current && !isCandidate) {
            // The other attempt continued the stream while the end of this one was being inspected.
            failed.report(end, reason, true);
            return;
        }
        if (!end.isNotRun()) {
            onRun(failed);
            failedRuns++;
            failedEndpoints.add(failed.endpoint().id());
        }
        Attempt other = candidate;
        if (isCandidate) {
            candidate = null;
            boolean isRetried = mayStartCandidate();
            failed.report(end, reason, isRetried);
            if (isRetried) {
                retry(end, this::startCandidate);
            }
            return;
        }
        if (other != null) {
            failed.report(end, reason, true);
            makeCurrent(other);
            return;
        }
        stopWaiting();
        current = null;
        boolean isRetried = call.delivered().canContinue()
                && CallRetryPolicy.mayRetry(call.route(), end, failedRuns, sends, call.remainingMillis())
                && (!isRestricted() || dispatcher.isAnyServing(call.service(), this::mayUse))
                && !call.identity().isSuspected()
                && dispatcher.tryRetry(call.service());
        failed.report(end, reason, isRetried);
        if (isRetried) {
            retry(end, call::dispatch);
        } else {
            deliverFailure.run();
        }
    }

    private void retry(AttemptEnd end, Runnable action) {
        ServiceProfile profile = call.profile();
        if (end == AttemptEnd.NOT_RUN && profile != null && profile.engine() != null) {
            // An engine refuses calls while it is full or while its group is being re-formed; both last only briefly.
            delayedRetry = dispatcher.after(REFUSAL_RETRY_DELAY_MILLIS, () -> {
                delayedRetry = null;
                action.run();
            });
        } else {
            action.run();
        }
    }

    /** Called when {@code attempt} was not written because its endpoint had become unavailable. */
    void onWithheld(Attempt attempt) {
        Attempt other = candidate;
        sends--;
        if (attempt == other) {
            candidate = null;
            startCandidate();
        } else if (other != null) {
            makeCurrent(other);
        } else {
            current = null;
            lastEndpoint = sends == 0 ? "" : lastEndpoint;
            call.dispatch();
        }
    }

    /** Called when the response has been delivered; the attempt that delivered it is no longer open. */
    void onServed() {
        current = null;
    }

    /** Ends all open attempts because the call has ended. */
    void endAll() {
        stopWaiting();
        cancel(current);
        cancel(candidate);
        current = null;
        candidate = null;
    }

    private void cancel(@Nullable Attempt open) {
        if (open != null) {
            onRun(open);
            open.cancel();
        }
    }

    /** Records that the endpoint of {@code ended} may have run the call. */
    private void onRun(Attempt ended) {
        runs++;
        ranEndpoints.add(ended.endpoint().id());
    }
}
