package org.jasminehub.core.evacuation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.era.StoreEra;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Holds which failure domains the operator evacuates, as read from the operator's log and learned from peers.
 *
 * <p>Load pattern: the operator evacuates a domain while some instances are cut off from the store, restart, or see a
 * store that was restored from a copy. Information then arrives late, twice and in any order. The states of a domain are
 * therefore ordered by the position of their records, and the newest one counts.
 *
 * <p>A record that is missing from a complete read ends the evacuation. In a new era a record that is missing proves
 * nothing until records lost in the restore count as written again; evacuations of earlier eras stay until then.
 *
 * <p>Not thread-safe.
 */
public final class Evacuations {
    /**
     * How long an end is included in statuses after it became known or a peer contradicted it; about 20 statuses. Ends are
     * not sent for good, because each status would grow with every evacuation there ever was.
     */
    static final long END_SHARED_MILLIS = 5_000;

    /** Bounds the size of a status and what peers can add; several times the number of failure domains of a fleet. */
    static final int MAX_SHARED = 64;

    /** An evacuation lasts for minutes, so earlier returns only add refusals; its end is known at once. */
    private static final long MIN_RETRY_MILLIS = 1_000;

    /** Callers refused together return spread over this time. */
    private static final long RETRY_SPREAD_MILLIS = 1_000;

    private final Clock clock;
    private final Map<FailureDomain, EvacuationState> states = new TreeMap<>();
    private final Map<FailureDomain, Long> endSharedUntilMillis = new HashMap<>();
    private @Nullable StoreEra readEra;
    /** The offset up to which the log was read in {@link #readEra}, exclusive. */
    private long readEnd;

    private long eraReadSinceMillis;
    private boolean isEraComplete;

    /** Creates a state without evacuations. */
    public Evacuations(Clock clock) {
        this.clock = clock;
    }

    /** Returns whether {@code domain} is evacuated. */
    public boolean isEvacuated(FailureDomain domain) {
        EvacuationState state = states.get(domain);
        return state != null && state.isEvacuated();
    }

    /** Returns the evacuated domains. */
    public Set<FailureDomain> evacuated() {
        Set<FailureDomain> result = new HashSet<>();
        states.values().stream().filter(EvacuationState::isEvacuated).forEach(state -> result.add(state.domain()));
        return result;
    }

    /** Returns the delay after which a caller refused because of an evacuation should retry. */
    public static long retryAfterMillis(double position) {
        return MIN_RETRY_MILLIS + (long) (RETRY_SPREAD_MILLIS * position);
    }

    /**
     * Applies a read of the newest records of all keys.
     *
     * @param requests the domains whose evacuation is requested, with the positions of the records
     * @param endOffset the offset from which the log is followed
     * @param asOfMillis the monotonic time as of which the records read so far are complete, empty if the read did not
     *     reach the end of the log
     * @return the states that changed between evacuated and not evacuated
     */
    public List<EvacuationState> onSnapshot(
            StoreEra era, Map<FailureDomain, LogPosition> requests, long endOffset, OptionalLong asOfMillis) {
        List<EvacuationState> changes = new ArrayList<>();
        requests.forEach((domain, position) -> apply(new EvacuationState(domain, true, position), changes));
        for (EvacuationState known : List.copyOf(states.values())) {
            boolean isInSnapshot =
                    known.position().era().equals(era) && known.position().offset() < endOffset;
            if (known.isEvacuated() && isInSnapshot && !requests.containsKey(known.domain())) {
                put(new EvacuationState(known.domain(), false, lastPosition(era, endOffset)), changes);
            }
        }
        onReadUpTo(era, endOffset, asOfMillis, changes);
        return changes;
    }

    /**
     * Applies records that were appended after the last read.
     *
     * @param records the requests and removals, oldest first
     * @param nextOffset the offset from which the log is read next
     * @param asOfMillis the monotonic time as of which the records read so far are complete, empty if the read did not
     *     reach the end of the log
     * @return the states that changed between evacuated and not evacuated
     */
    public List<EvacuationState> onRecords(
            StoreEra era, Collection<EvacuationState> records, long nextOffset, OptionalLong asOfMillis) {
        List<EvacuationState> changes = new ArrayList<>();
        records.forEach(record -> apply(record, changes));
        onReadUpTo(era, nextOffset, asOfMillis, changes);
        return changes;
    }

    /** Applies what a peer knows about a domain; returns the new state if the domain's evacuation began or ended here. */
    public Optional<EvacuationState> onPeerState(EvacuationState state) {
        List<EvacuationState> changes = new ArrayList<>();
        StoreEra era = readEra;
        if (era != null && isReadHere(state.position())) {
            if (state.isEvacuated() && !isEvacuated(state.domain()) && hasRoomFor(state.domain())) {
                put(new EvacuationState(state.domain(), false, lastPosition(era, readEnd)), changes);
            }
            return Optional.empty();
        }
        EvacuationState known = states.get(state.domain());
        if (known != null && !known.isEvacuated() && state.isEvacuated() && !state.supersedes(known)) {
            shareEnd(state.domain());
        }
        if (hasRoomFor(state.domain())) {
            apply(state, changes);
        }
        return changes.stream().findFirst();
    }

    /** Returns whether a peer may add the state of {@code domain}. */
    public boolean hasRoomFor(FailureDomain domain) {
        return states.size() < MAX_SHARED || states.containsKey(domain);
    }

    /** Returns the states to include in statuses: evacuations in force and recent ends. */
    public List<EvacuationState> toShare() {
        long nowMillis = clock.monotonicMillis();
        return states.values().stream()
                .filter(state -> state.isEvacuated() || isEndShared(state.domain(), nowMillis))
                .sorted(Comparator.comparing((EvacuationState state) -> !state.isEvacuated()))
                .limit(MAX_SHARED)
                .toList();
    }

    private void apply(EvacuationState state, List<EvacuationState> changes) {
        EvacuationState known = states.get(state.domain());
        if (known == null || state.supersedes(known)) {
            put(state, changes);
        }
    }

    private void put(EvacuationState state, List<EvacuationState> changes) {
        boolean wasEvacuated = isEvacuated(state.domain());
        states.put(state.domain(), state);
        if (!state.isEvacuated()) {
            shareEnd(state.domain());
        }
        if (wasEvacuated != state.isEvacuated()) {
            changes.add(state);
        }
    }

    private void onReadUpTo(StoreEra era, long nextOffset, OptionalLong asOfMillis, List<EvacuationState> changes) {
        if (!era.equals(readEra)) {
            readEra = era;
            eraReadSinceMillis = clock.monotonicMillis();
            isEraComplete = false;
        }
        readEnd = nextOffset;
        // The lost records that were written again may be the last ones of the log.
        isEraComplete |=
                asOfMillis.isPresent() && asOfMillis.getAsLong() - eraReadSinceMillis >= EraTracker.REWRITE_MILLIS;
        if (!isEraComplete) {
            return;
        }
        for (EvacuationState known : List.copyOf(states.values())) {
            if (known.isEvacuated() && known.position().era().compareTo(era) < 0) {
                put(new EvacuationState(known.domain(), false, lastPosition(era, nextOffset)), changes);
            }
        }
        forgetEnds();
    }

    /** Forgets the ends that no late message can undo, because the log was read beyond their records. */
    private void forgetEnds() {
        long nowMillis = clock.monotonicMillis();
        states.values()
                .removeIf(state -> !state.isEvacuated()
                        && isReadHere(state.position())
                        && !isEndShared(state.domain(), nowMillis));
        endSharedUntilMillis.keySet().retainAll(states.keySet());
    }

    /** Returns whether this instance has read the log at {@code position} and beyond, so that peers know nothing newer. */
    private boolean isReadHere(LogPosition position) {
        StoreEra era = readEra;
        if (era == null) {
            return false;
        }
        int order = position.era().compareTo(era);
        return order == 0 ? position.offset() < readEnd : order < 0 && isEraComplete;
    }

    private void shareEnd(FailureDomain domain) {
        endSharedUntilMillis.put(domain, clock.monotonicMillis() + END_SHARED_MILLIS);
    }

    private boolean isEndShared(FailureDomain domain, long nowMillis) {
        return endSharedUntilMillis.getOrDefault(domain, Long.MIN_VALUE) > nowMillis;
    }

    private static LogPosition lastPosition(StoreEra era, long endOffset) {
        return new LogPosition(era, Math.max(0, endOffset - 1));
    }
}
