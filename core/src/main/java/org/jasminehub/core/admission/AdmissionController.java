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
 * Decides which work an endpoint runs, when, and which it refuses at once.
 *
 * <p>Work starts while the engine has places. Other work waits in a bounded queue that is fair to workspaces by weight
 * and lets urgent work go first within bounds. A request is refused as soon as it is known that it cannot meet its
 * deadline, be it on arrival or later, and always with a time to come back.
 *
 * <pre>{@code
 * for (AdmissionOutcome outcome : controller.offer(request)) {
 *     answer(outcome);
 * }
 * timer.schedule(controller.nextActionMillis(), controller::advance);
 * }</pre>
 *
 * <p>Every method that changes anything returns what became of the requests concerned, which may be others than the one
 * passed. Safe for use by several threads; outcomes must be acted on in the order returned.
 */
public final class AdmissionController {
    private static final long REVIEW_INTERVAL_MILLIS = 50;
    private static final Comparator<QueuedWork> BY_LATEST_START =
            Comparator.comparingLong(QueuedWork::latestStartMillis).thenComparingLong(QueuedWork::sequence);

    private final Clock clock;
    private final AdmissionSettings settings;
    private final EventSink events;
    private final FairQueue queue;
    private final RetryTimes retryTimes;
    private final AnswerLength answerLength = new AnswerLength();
    private final DrainRate drainRate;
    private final Map<Long, QueuedWork> queued = new HashMap<>();
    private final TreeSet<QueuedWork> byLatestStart = new TreeSet<>(BY_LATEST_START);
    private final Map<Long, QueuedWork> running = new HashMap<>();
    private EngineSpeed speed;
    private long nextSequence;
    private long reviewedMillis;

    /** Creates a controller with an empty queue before an idle engine of this speed. */
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

    /** Decides on a request that has just arrived. */
    public synchronized List<AdmissionOutcome> offer(AdmissionRequest request) {
        List<AdmissionOutcome> outcomes = new ArrayList<>(advance());
        QueuedWork item = toWork(request);
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
        double lateMillis = clock.monotonicMillis() + waitMillis - item.latestStartMillis();
        if (lateMillis > 0) {
            remove(item);
            outcomes.add(refuse(item, ErrorCode.DEADLINE_UNREACHABLE, lateMillis));
            return;
        }
        pushOut(outcomes);
        if (queued.containsKey(item.request().key())) {
            outcomes.add(new AdmissionOutcome.Queued(item.request(), (long) waitMillis));
        }
    }

    /** Refuses the work that would go last until the queue is within its bound. */
    private void pushOut(List<AdmissionOutcome> outcomes) {
        while (queue.queuedTokens() > settings.maxQueuedTokens()) {
            Optional<QueuedWork> last = queue.last();
            if (last.isEmpty()) {
                return;
            }
            double overTokens = queue.queuedTokens() - settings.maxQueuedTokens();
            remove(last.get());
            outcomes.add(refuse(last.get(), ErrorCode.OVERLOADED, overTokens / drainRate.tokensPerMilli()));
        }
    }

    /**
     * Notes that a started request has ended, and starts what waits.
     *
     * @param key the request's key
     * @param answerTokens the answer's length, negative where it is not known
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

    /** Forgets a request whose caller has gone, whether it waits or runs, and starts what waits. */
    public synchronized List<AdmissionOutcome> canceled(long key) {
        QueuedWork item = queued.get(key);
        if (item != null) {
            remove(item);
        }
        running.remove(key);
        return advance();
    }

    /** Takes the engine's present speed, and refuses what can no longer meet its deadline. */
    public synchronized List<AdmissionOutcome> speedChanged(EngineSpeed present) {
        drainRate.adapt(speed, present);
        speed = present;
        return advance();
    }

    /** Starts what there is room for, and refuses at once what can no longer meet its deadline. */
    public synchronized List<AdmissionOutcome> advance() {
        List<AdmissionOutcome> outcomes = new ArrayList<>();
        refuseLate(outcomes);
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

    /** Returns when {@link #advance} must be called at the latest, or {@link Long#MAX_VALUE}. */
    public synchronized long nextActionMillis() {
        if (byLatestStart.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long lateMillis = byLatestStart.first().latestStartMillis() + 1;
        return Math.min(lateMillis, reviewedMillis + REVIEW_INTERVAL_MILLIS);
    }

    /** Returns the tokens of work that wait. */
    public synchronized long queuedTokens() {
        return queue.queuedTokens();
    }

    /** Returns how many requests run. */
    public synchronized int runningRequests() {
        return running.size();
    }

    private void refuseLate(List<AdmissionOutcome> outcomes) {
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
            double lateMillis = nowMillis + waitMillis - item.latestStartMillis();
            if (lateMillis > 0) {
                remove(item);
                outcomes.add(refuse(item, ErrorCode.DEADLINE_UNREACHABLE, lateMillis));
            }
        }
    }

    private double waitMillis(QueuedWork item) {
        return (queue.tokensAhead(item) + item.workTokens()) / drainRate.tokensPerMilli();
    }

    private QueuedWork toWork(AdmissionRequest request) {
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
