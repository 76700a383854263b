package org.jasminehub.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.routing.WorkCost;
import org.jasminehub.core.time.Clock;

/**
 * Decides which requests an endpoint runs, in which order, and which are refused.
 *
 * <p>A request starts immediately if the engine has free capacity. Otherwise it waits in a bounded queue that shares
 * the endpoint fairly between workspaces by weight and gives urgent work a bounded head start. A request is refused as
 * soon as it is known that it cannot meet its deadline, on arrival or later, always with a time after which to retry.
 *
 * <pre>{@code
 * for (AdmissionOutcome outcome : controller.offer(request)) {
 *     answer(outcome);
 * }
 * timer.schedule(controller.nextActionMillis(), controller::advance);
 * }</pre>
 *
 * <p>Each method that changes the state returns the outcomes of all requests affected, which may be other requests than
 * the one passed. Callers must act on the outcomes in the order returned.
 *
 * <p>Thread-safe.
 */
public final class AdmissionController {
    private static final long REVIEW_INTERVAL_MILLIS = 50;
    private static final Comparator<QueuedWork> LATEST_START_ORDER =
            Comparator.comparingLong(QueuedWork::latestStartMillis).thenComparingLong(QueuedWork::sequence);

    private final Clock clock;
    private final AdmissionSettings settings;
    private final EventSink events;
    private final FairQueue queue;
    private final RetryTimes retryTimes;
    private final AnswerLength answerLength = new AnswerLength();
    private final DrainRate drainRate;
    private final Map<Long, QueuedWork> queued = new HashMap<>();
    private final TreeSet<QueuedWork> byLatestStart = new TreeSet<>(LATEST_START_ORDER);
    private final Map<Long, QueuedWork> running = new HashMap<>();
    private EngineSpeed speed;
    private long nextSequence;
    private long reviewedMillis;

    /** Creates a controller with an empty queue for an idle engine of the given speed. */
    public AdmissionController(Clock clock, AdmissionSettings settings, EngineSpeed speed, EventSink events) {
        this.clock = clock;
        this.settings = settings;
        this.events = events;
        this.queue = new FairQueue(settings.urgentHeadStartTokens());
        this.retryTimes = new RetryTimes(settings.maxRetryAfterMillis());
        this.drainRate = new DrainRate(speed);
        this.speed = speed;
        this.reviewedMillis = clock.monotonicMillis();
    }

    /** Decides on a newly arrived request. */
    public synchronized List<AdmissionOutcome> offer(AdmissionRequest request) {
        List<AdmissionOutcome> outcomes = new ArrayList<>(advance());
        QueuedWork item = toQueuedWork(request);
        if (item.latestStartMillis() < clock.monotonicMillis()) {
            outcomes.add(refuse(item, ErrorCode.DEADLINE_UNREACHABLE, 0));
        } else if (queue.isEmpty() && running.size() < speed.capacityRequests()) {
            queue.charge(request, item.workTokens());
            outcomes.add(start(item));
        } else {
            enqueue(item, outcomes);
        }
        return outcomes;
    }

    private void enqueue(QueuedWork item, List<AdmissionOutcome> outcomes) {
        add(item);
        double waitMillis = waitMillis(item);
        double delayMillis = clock.monotonicMillis() + waitMillis - item.latestStartMillis();
        if (delayMillis > 0) {
            remove(item);
            outcomes.add(refuse(item, ErrorCode.DEADLINE_UNREACHABLE, delayMillis));
            return;
        }
        evictOverflow(outcomes);
        if (queued.containsKey(item.request().key())) {
            outcomes.add(new AdmissionOutcome.Queued(item.request(), (long) waitMillis));
        }
    }

    /** Refuses the work that is last in order until the queue is within its bound. */
    private void evictOverflow(List<AdmissionOutcome> outcomes) {
        while (queue.queuedTokens() > settings.maxQueuedTokens()) {
            Optional<QueuedWork> last = queue.last();
            if (last.isEmpty()) {
                return;
            }
            double overflowTokens = queue.queuedTokens() - settings.maxQueuedTokens();
            remove(last.get());
            outcomes.add(refuse(last.get(), ErrorCode.OVERLOADED, overflowTokens / drainRate.tokensPerMilli()));
        }
    }

    /**
     * Records that a started request has ended, and starts waiting requests.
     *
     * @param key the key of the request
     * @param answerTokens the length of the answer, negative if unknown
     */
    public synchronized List<AdmissionOutcome> finished(long key, long answerTokens) {
        QueuedWork item = running.remove(key);
        if (item != null) {
            if (answerTokens >= 0) {
                answerLength.record(answerTokens, item.request().maxAnswerTokens());
            }
            drainRate.finished(clock.monotonicMillis(), item.workTokens(), !queue.isEmpty());
        }
        return advance();
    }

    /** Removes a waiting or running request whose caller has disconnected, and starts waiting requests. */
    public synchronized List<AdmissionOutcome> canceled(long key) {
        QueuedWork item = queued.get(key);
        if (item != null) {
            remove(item);
        }
        running.remove(key);
        return advance();
    }

    /** Updates the speed of the engine, and refuses requests that can no longer meet their deadline. */
    public synchronized List<AdmissionOutcome> speedChanged(EngineSpeed newSpeed) {
        drainRate.adapt(speed, newSpeed);
        speed = newSpeed;
        return advance();
    }

    /** Starts as many waiting requests as fit, and refuses those that can no longer meet their deadline. */
    public synchronized List<AdmissionOutcome> advance() {
        List<AdmissionOutcome> outcomes = new ArrayList<>();
        refuseUnreachable(outcomes);
        while (running.size() < speed.capacityRequests()) {
            Optional<QueuedWork> next = queue.poll();
            if (next.isEmpty()) {
                break;
            }
            forget(next.get());
            outcomes.add(start(next.get()));
        }
        return outcomes;
    }

    /** Returns the latest time at which {@link #advance} must be called, {@link Long#MAX_VALUE} if nothing waits. */
    public synchronized long nextActionMillis() {
        if (byLatestStart.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long expiryMillis = byLatestStart.first().latestStartMillis() + 1;
        return Math.min(expiryMillis, reviewedMillis + REVIEW_INTERVAL_MILLIS);
    }

    /** Returns the tokens of work in the queue. */
    public synchronized long queuedTokens() {
        return queue.queuedTokens();
    }

    /** Returns the number of running requests. */
    public synchronized int runningRequests() {
        return running.size();
    }

    private void refuseUnreachable(List<AdmissionOutcome> outcomes) {
        long nowMillis = clock.monotonicMillis();
        boolean isReview = nowMillis - reviewedMillis >= REVIEW_INTERVAL_MILLIS;
        reviewedMillis = isReview ? nowMillis : reviewedMillis;
        if (!isReview && (byLatestStart.isEmpty() || byLatestStart.first().latestStartMillis() >= nowMillis)) {
            return;
        }
        for (QueuedWork item : List.copyOf(byLatestStart)) {
            if (!isReview && item.latestStartMillis() >= nowMillis) {
                break;
            }
            double waitMillis = isReview ? waitMillis(item) : 0;
            double delayMillis = nowMillis + waitMillis - item.latestStartMillis();
            if (delayMillis > 0) {
                remove(item);
                outcomes.add(refuse(item, ErrorCode.DEADLINE_UNREACHABLE, delayMillis));
            }
        }
    }

    private double waitMillis(QueuedWork item) {
        return (queue.tokensAhead(item) + item.workTokens()) / drainRate.tokensPerMilli();
    }

    private QueuedWork toQueuedWork(AdmissionRequest request) {
        double answerTokens = answerLength.expectedTokens(request.maxAnswerTokens());
        long workTokens = WorkCost.tokens(request.promptTokens(), (long) answerTokens);
        double serviceMillis =
                speed.serviceMillis(request.promptTokens(), answerLength.longTokens(request.maxAnswerTokens()));
        long latestStartMillis = request.deadlineMillis() - (long) Math.ceil(serviceMillis);
        return new QueuedWork(request, workTokens, latestStartMillis, nextSequence++);
    }

    private AdmissionOutcome start(QueuedWork item) {
        running.put(item.request().key(), item);
        return new AdmissionOutcome.Started(item.request());
    }

    private AdmissionOutcome refuse(QueuedWork item, ErrorCode code, double waitMillis) {
        AdmissionRequest request = item.request();
        double serviceMillis = item.workTokens() / (drainRate.tokensPerMilli() * queue.share(request));
        long retryAfterMillis =
                retryTimes.reserve(request.workspace(), clock.monotonicMillis(), waitMillis, serviceMillis);
        events.emit(new WorkRefused(
                request.workspace().value(),
                request.priority(),
                code,
                retryAfterMillis,
                queue.queuedTokens(),
                running.size()));
        return new AdmissionOutcome.Refused(request, code, retryAfterMillis);
    }

    private void add(QueuedWork item) {
        queue.add(item);
        queued.put(item.request().key(), item);
        byLatestStart.add(item);
    }

    private void remove(QueuedWork item) {
        queue.remove(item);
        forget(item);
    }

    private void forget(QueuedWork item) {
        queued.remove(item.request().key());
        byLatestStart.remove(item);
    }
}
