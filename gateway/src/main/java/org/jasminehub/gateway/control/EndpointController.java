package org.jasminehub.gateway.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jasminehub.core.balance.EndpointEligibility;
import org.jasminehub.core.balance.LeavingEndpoints;
import org.jasminehub.core.era.DepartedEndpoint;
import org.jasminehub.core.era.EndpointHistory;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.EndpointRegistration;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.EndpointRecordAdapter;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.platform.hosted.RecordRejectedException;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jspecify.annotations.Nullable;

/**
 * Holds the registered endpoints.
 *
 * <p>An endpoint that is draining or removed, that announced in a response that it is leaving, or whose failure domain is
 * evacuated, receives no new calls from the moment at which that is read. During an outage of the store registrations expire although their endpoints are
 * healthy; such endpoints are kept until they have had time to register again.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class EndpointController {
    /** Healthy endpoints register again within about 2 s after an outage of the store. */
    private static final long REREGISTRATION_MILLIS = 2_200;

    private final EventSink events;
    private final DelayedRunner timer;
    private final LogFollower follower;
    private final EraTracker eras;
    private final EndpointHistory history;
    private final LeavingEndpoints leaving;
    private final Predicate<FailureDomain> isEvacuated;
    private final RejectionLog rejections;
    private final Map<EndpointId, EndpointRecord> endpoints = new HashMap<>();
    /** The endpoints without a registration in the records read so far, with the reason to log for their removal. */
    private final Map<EndpointId, String> missing = new HashMap<>();

    private Map<String, List<EndpointRecord>> servingByService = Map.of();
    private boolean isReadScheduled;
    private Runnable onChanged = () -> {};
    private Consumer<EndpointRecord> onUnavailable = endpoint -> {};
    private Consumer<EndpointRegistration> onRegistration = registration -> {};

    /**
     * Creates a controller without endpoints.
     *
     * @param isEvacuated whether the endpoints of a failure domain get no new calls
     */
    public EndpointController(
            StoreClient store,
            FollowerSettings settings,
            DelayedRunner timer,
            Clock clock,
            EventSink events,
            EraTracker eras,
            Predicate<FailureDomain> isEvacuated) {
        this.isEvacuated = isEvacuated;
        this.events = events;
        this.rejections = new RejectionLog(events);
        this.eras = eras;
        this.history = new EndpointHistory(eras, clock);
        this.leaving = new LeavingEndpoints(clock);
        this.timer = timer;
        this.follower = new LogFollower(
                store, StoreTopic.ENDPOINTS, settings, timer, clock, events, eras, new LogFollower.Listener() {
                    @Override
                    public void onSnapshot(List<KeyedRecord> records) {
                        applySnapshot(records);
                    }

                    @Override
                    public void onRecords(List<KeyedRecord> records) {
                        records.forEach(EndpointController.this::onRecord);
                        publish();
                    }

                    @Override
                    public void onEndReached(long asOfMillis) {
                        removeMissing(asOfMillis);
                    }
                });
    }

    /**
     * Starts to follow the registrations.
     *
     * @param changed runs after each change
     * @param unavailable runs for each endpoint that no longer accepts calls
     */
    public void start(Runnable changed, Consumer<EndpointRecord> unavailable) {
        onChanged = changed;
        onUnavailable = unavailable;
        follower.restart();
    }

    /** Passes each accepted registration to {@code observer}, before the change that it causes is published. */
    public void observeRegistrations(Consumer<EndpointRegistration> observer) {
        onRegistration = observer;
    }

    /** Reads the log again at once, because the registrations may be older than their recorded age. */
    public void refresh() {
        follower.restart();
    }

    /** Stops following the log. */
    public void stop() {
        follower.stop();
    }

    /** Returns the time since the registrations were last read. */
    public long ageMillis() {
        return follower.age().millis();
    }

    /** Returns the endpoints of {@code service} that accept new calls. */
    public List<EndpointRecord> serving(String service) {
        return servingByService.getOrDefault(service, List.of());
    }

    /** Returns the endpoint {@code id}, or empty if it is not registered. */
    public Optional<EndpointRecord> find(EndpointId id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /** Returns all registered endpoints. */
    public List<EndpointRecord> all() {
        return List.copyOf(endpoints.values());
    }

    /** Returns whether new calls may be sent to {@code endpoint}, judged by the newest information about it. */
    public boolean accepts(EndpointRecord endpoint) {
        EndpointRecord known = endpoints.get(endpoint.id());
        return known != null && known.isSameIncarnation(endpoint) && !known.isDraining() && !isExcluded(endpoint);
    }

    private boolean isExcluded(EndpointRecord endpoint) {
        return leaving.isLeaving(endpoint) || isEvacuated.test(endpoint.domain());
    }

    /** Returns whether {@code service} has an endpoint that gets no new calls only because its domain is evacuated. */
    public boolean isEvacuated(String service) {
        return endpoints.values().stream()
                .anyMatch(endpoint -> endpoint.service().equals(service)
                        && isEvacuated.test(endpoint.domain())
                        && !endpoint.isDraining()
                        && !leaving.isLeaving(endpoint));
    }

    /** Applies a change of the evacuated failure domains; {@code begun} are those evacuated from now on. */
    public void onEvacuationsChanged(Set<FailureDomain> begun) {
        for (EndpointRecord endpoint : endpoints.values()) {
            if (begun.contains(endpoint.domain())) {
                onUnavailable.accept(endpoint);
            }
        }
        publish();
    }

    /** Returns the number of endpoints that announced in a response that they are leaving. */
    public int leavingCount() {
        return leaving.size();
    }

    /**
     * Stops new calls to an endpoint that announced in a response that it is leaving.
     *
     * @param cause the response that contained the announcement
     */
    public void onLeavingAnnounced(EndpointIncarnation endpoint, String cause) {
        if (!leaving.onAnnounced(endpoint)) {
            return;
        }
        events.emit(new ControlEvent(
                ControlEventKind.ENDPOINT_LEAVING,
                endpoint.id().value(),
                "announced in " + cause + "; started at " + endpoint.startedWallMillis(),
                0));
        EndpointRecord known = endpoints.get(endpoint.id());
        if (known != null && known.incarnation().equals(endpoint)) {
            onUnavailable.accept(known);
            publish();
        }
    }

    /** Returns the endpoints that left before the store was restored, while the restored store may show them. */
    public List<DepartedEndpoint> departedBeforeRestore() {
        return eras.isRewriting() ? history.departedBeforeRestore() : List.of();
    }

    /** Stops calls to endpoints that a peer knows to have left, although the restored store shows them. */
    public void onPeerDepartures(List<DepartedEndpoint> departures) {
        boolean isChanged = false;
        for (DepartedEndpoint departed : departures) {
            history.onPeerDeparture(departed);
            EndpointRecord known = endpoints.get(departed.id());
            if (known != null && history.isDeparted(known)) {
                endpoints.remove(departed.id());
                events.emit(new ControlEvent(
                        ControlEventKind.ENDPOINT_CHANGED, departed.id().value(), "left before the restore", 0));
                onUnavailable.accept(known);
                isChanged = true;
            }
        }
        if (isChanged) {
            publish();
        }
    }

    private void applySnapshot(List<KeyedRecord> records) {
        rejections.retain(records.stream().map(KeyedRecord::key).collect(Collectors.toSet()));
        Set<EndpointId> listed = new HashSet<>();
        for (KeyedRecord record : records) {
            if (onRecord(record)) {
                listed.add(new EndpointId(record.key()));
            }
        }
        for (EndpointId known : endpoints.keySet()) {
            if (!listed.contains(known)) {
                onMissing(known);
            }
        }
        publish();
    }

    /**
     * Applies a record and returns whether it names an endpoint. One that cannot be read, as another writer may write
     * over a good one, counts like a missing one, so that instances agree whether or not they read the good one.
     */
    private boolean onRecord(KeyedRecord record) {
        if (record.key().isBlank()) {
            rejections.onRejected("endpoint", "record has no key");
            return false;
        }
        byte[] value = record.value();
        if (value == null) {
            rejections.onResolved(record.key());
            onMissing(new EndpointId(record.key()));
            return false;
        }
        try {
            onRegistration(EndpointRecordAdapter.decode(record.key(), value));
            rejections.onResolved(record.key());
            return true;
        } catch (RecordRejectedException e) {
            rejections.onRejected(record.key(), String.valueOf(e.getMessage()));
            onMissing(new EndpointId(record.key()));
            return false;
        }
    }

    private void onRegistration(EndpointRegistration registration) {
        EndpointRecord decoded = registration.endpoint();
        if (history.isOutdated(registration)) {
            events.emit(new ControlEvent(
                    ControlEventKind.RECORD_OUTDATED,
                    decoded.id().value(),
                    "registration " + registration.sequence() + " of the run started at " + decoded.startedWallMillis()
                            + " is older than the known one",
                    0));
            return;
        }
        history.onAccepted(registration);
        onRegistration.accept(registration);
        missing.remove(decoded.id());
        EndpointRecord previous = endpoints.put(decoded.id(), decoded);
        if (previous != null && !previous.isSameIncarnation(decoded)) {
            onUnavailable.accept(previous);
        }
        if (!decoded.equals(previous)) {
            emitChange(decoded);
        }
        if (decoded.isDraining() && (previous == null || !previous.isDraining())) {
            onUnavailable.accept(decoded);
        }
    }

    private void emitChange(EndpointRecord decoded) {
        String seat = decoded.seat() == null ? "" : " " + decoded.seat();
        events.emit(new ControlEvent(
                ControlEventKind.ENDPOINT_CHANGED,
                decoded.id().value(),
                (decoded.isDraining() ? "draining" : "ready") + " at " + decoded.host() + ":" + decoded.port()
                        + " for service " + decoded.service() + seat,
                0));
    }

    private void onMissing(EndpointId id) {
        if (endpoints.containsKey(id)) {
            missing.putIfAbsent(id, "gone");
        }
    }

    /**
     * Removes the endpoints that are missing from the log as of {@code asOfMillis}, unless their registrations may have
     * expired during an outage of the store and may still be renewed.
     */
    private void removeMissing(long asOfMillis) {
        if (missing.isEmpty()) {
            return;
        }
        long outageMillis =
                REREGISTRATION_MILLIS - Math.min(REREGISTRATION_MILLIS, follower.millisSinceRegained(asOfMillis));
        long restoreMillis = eras.isCompleteSince(asOfMillis) ? 0 : Math.max(1, eras.rewriteRemainingMillis());
        long renewalMillis = Math.max(outageMillis, restoreMillis);
        if (renewalMillis > 0) {
            missing.replaceAll((id, reason) -> "registration expired and was not renewed");
            readAfter(renewalMillis);
            return;
        }
        Map.copyOf(missing).forEach(this::remove);
        publish();
    }

    /** Reads the log once the missing registrations must have been renewed. */
    private void readAfter(long delayMillis) {
        if (isReadScheduled) {
            return;
        }
        isReadScheduled = true;
        timer.runAfter(delayMillis, () -> {
            isReadScheduled = false;
            if (!missing.isEmpty()) {
                follower.readNow();
            }
        });
    }

    private void remove(EndpointId id, String reason) {
        missing.remove(id);
        history.onDeparted(id);
        @Nullable EndpointRecord previous = endpoints.remove(id);
        if (previous != null) {
            events.emit(new ControlEvent(ControlEventKind.ENDPOINT_CHANGED, id.value(), reason, 0));
            onUnavailable.accept(previous);
        }
    }

    private void publish() {
        leaving.onRegistrations(endpoints.values());
        servingByService = EndpointEligibility.serving(endpoints.values(), this::isExcluded);
        onChanged.run();
    }
}
