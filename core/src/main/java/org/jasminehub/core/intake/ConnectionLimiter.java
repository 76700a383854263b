package org.jasminehub.core.intake;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.jasminehub.core.internal.Checks;

/**
 * Bounds the connections of clients, and selects the one to close for each connection beyond the bound.
 *
 * <p>A connection with a request that is being processed is never selected. Of the others, those without a response so
 * far are closed first, from the one that has made no progress for longest, but as many as a quarter of the bound are
 * spared, so that a new client has time to send its request.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the type of the connections
 */
public final class ConnectionLimiter<T> {
    private static final int SPARED_SHARE = 4;

    private final int maxConnections;
    private final Set<T> unserved = new LinkedHashSet<>();
    private final Set<T> idle = new LinkedHashSet<>();
    private final Set<T> busy = new HashSet<>();
    private long closed;

    /** Creates a limiter without connections. */
    public ConnectionLimiter(int maxConnections) {
        Checks.positive("maxConnections", maxConnections);
        this.maxConnections = maxConnections;
    }

    /** Adds a connection; returns the one to close, which may be the new one, if there are too many. */
    public Optional<T> add(T connection) {
        Optional<T> victim = Optional.empty();
        if (size() >= maxConnections) {
            victim = Optional.of(selectVictim().orElse(connection));
            closed++;
        }
        victim.ifPresent(this::remove);
        if (victim.isEmpty() || victim.get() != connection) {
            unserved.add(connection);
        }
        return victim;
    }

    private Optional<T> selectVictim() {
        boolean isUnservedSpared = unserved.size() <= maxConnections / SPARED_SHARE && !idle.isEmpty();
        Iterator<T> candidates = (isUnservedSpared ? idle : unserved).iterator();
        return candidates.hasNext() ? Optional.of(candidates.next()) : Optional.empty();
    }

    /** Records that a part of a request was received that is large enough to count as progress. */
    public void onProgress(T connection) {
        if (unserved.remove(connection)) {
            unserved.add(connection);
        } else if (idle.remove(connection)) {
            idle.add(connection);
        }
    }

    /** Records that a complete request was received, which is now being processed. */
    public void onRequest(T connection) {
        if (unserved.remove(connection) || idle.remove(connection)) {
            busy.add(connection);
        }
    }

    /** Records that the response was sent. */
    public void onResponse(T connection) {
        if (busy.remove(connection)) {
            idle.add(connection);
        }
    }

    /** Removes a connection that was closed. */
    public void remove(T connection) {
        unserved.remove(connection);
        idle.remove(connection);
        busy.remove(connection);
    }

    /** Returns the number of connections. */
    public int size() {
        return unserved.size() + idle.size() + busy.size();
    }

    /** Returns how many connections were selected to be closed. */
    public long closed() {
        return closed;
    }
}
