package org.jasminehub.core.ratelimit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.time.Clock;
import org.jspecify.annotations.Nullable;

/** The permits that this instance holds and has asked for. Not thread-safe. */
final class PermitHolder {
    /** An unused permit is returned after this time, so that another instance can use it. */
    static final long PERMIT_TIMEOUT_MILLIS = 500;

    /** Time after which a request is sent again if there is still need; several round trips between instances. */
    private static final long REPEAT_MILLIS = 300;

    /** Expected wait if the issuer does not reply; others have replaced it by then. */
    private static final long NO_REPLY_WAIT_MILLIS = 1_000;

    /** Number of endpoints whose expected waits stand for those of all endpoints of a service. */
    private static final int SAMPLE_SIZE = 4;

    private static final long NEVER = Long.MIN_VALUE;

    /** The state of one endpoint. */
    private static final class State {
        private int permits;
        private long expiresMillis;
        private long requestedMillis = NEVER;
        private long availableMillis = NEVER;
    }

    private final Clock clock;
    private final Map<EndpointIncarnation, State> states = new HashMap<>();

    PermitHolder(Clock clock) {
        this.clock = clock;
    }

    boolean hasPermit(EndpointIncarnation endpoint) {
        return holdsPermit(states.get(endpoint));
    }

    private boolean holdsPermit(@Nullable State state) {
        return state != null && state.permits > 0 && clock.monotonicMillis() < state.expiresMillis;
    }

    /** Uses up a permit if there is one. */
    void use(EndpointIncarnation endpoint) {
        State state = states.get(endpoint);
        if (state != null && holdsPermit(state)) {
            state.permits--;
        }
    }

    /** Returns whether a permit for {@code endpoint} may be requested; false while a request is open. */
    boolean mayRequest(EndpointIncarnation endpoint) {
        State state = states.get(endpoint);
        return state == null
                || (!holdsPermit(state)
                        && (state.requestedMillis == NEVER
                                || clock.monotonicMillis() - state.requestedMillis >= REPEAT_MILLIS));
    }

    void onRequested(EndpointIncarnation endpoint) {
        state(endpoint).requestedMillis = clock.monotonicMillis();
    }

    void onPermit(EndpointIncarnation endpoint) {
        State state = state(endpoint);
        state.permits++;
        state.expiresMillis = clock.monotonicMillis() + PERMIT_TIMEOUT_MILLIS;
        state.requestedMillis = NEVER;
        state.availableMillis = NEVER;
    }

    void onQueued(EndpointIncarnation endpoint, long waitMillis) {
        state(endpoint).availableMillis = clock.monotonicMillis() + waitMillis;
    }

    /** Passes each expired permit to {@code returned} and forgets the endpoints that are not {@code limited}. */
    void expire(Predicate<EndpointIncarnation> limited, Consumer<EndpointIncarnation> returned) {
        long nowMillis = clock.monotonicMillis();
        states.keySet().removeIf(endpoint -> !limited.test(endpoint));
        states.forEach((endpoint, state) -> {
            for (; state.permits > 0 && nowMillis >= state.expiresMillis; state.permits--) {
                returned.accept(endpoint);
            }
        });
    }

    /**
     * Returns the time after which the call with {@code ahead} others before it can expect a permit for any of
     * {@code endpoints}, 0 if that is not known yet.
     */
    long expectedWaitMillis(Collection<EndpointIncarnation> endpoints, int ahead) {
        List<Long> waits = new ArrayList<>();
        for (EndpointIncarnation endpoint : endpoints) {
            long waitMillis = knownWaitMillis(endpoint);
            if (waitMillis >= 0) {
                waits.add(waitMillis);
            }
        }
        if (waits.isEmpty() || waits.size() < Math.min(SAMPLE_SIZE, endpoints.size())) {
            return 0;
        }
        Collections.sort(waits);
        int index = (int) ((long) ahead * waits.size() / endpoints.size());
        int last = waits.size() - 1;
        return index <= last ? waits.get(index) : waits.get(last) * (index + 1) / waits.size();
    }

    /** Returns the expected wait for a permit, or -1 if it is not known. */
    private long knownWaitMillis(EndpointIncarnation endpoint) {
        State state = states.get(endpoint);
        if (holdsPermit(state)) {
            return 0;
        }
        long nowMillis = clock.monotonicMillis();
        if (state == null || state.requestedMillis == NEVER) {
            return -1;
        }
        if (state.availableMillis != NEVER) {
            return state.availableMillis > nowMillis ? state.availableMillis - nowMillis : -1;
        }
        return nowMillis - state.requestedMillis < REPEAT_MILLIS ? -1 : NO_REPLY_WAIT_MILLIS;
    }

    private State state(EndpointIncarnation endpoint) {
        return states.computeIfAbsent(endpoint, each -> new State());
    }
}
