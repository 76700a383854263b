package org.jasminehub.gateway.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jasminehub.core.balance.EndpointEligibility;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.EndpointRecordAdapter;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.platform.hosted.RecordRejectedException;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jspecify.annotations.Nullable;

/**
 * Knows which endpoints there are.
 *
 * <p>An endpoint that is draining or gone takes no new call from the moment that is read. Around an outage of the store
 * registrations lapse although their endpoints live; those get time to register again.
 *
 * <p>Used on the process's event loop only.
 */
public final class EndpointController {
    /** After an outage of the store, endpoints that live are registered again within about 2 s. */
    private static final long RETURN_MILLIS = 2_200;

    private final EventSink events;
    private final Clock clock;
    private final DelayedRunner timer;
    private final LogFollower follower;
    private final Map<EndpointId, EndpointRecord> endpoints = new HashMap<>();
    private final Map<EndpointId, Long> lapsedMillis = new HashMap<>();
    private Map<String, List<EndpointRecord>> servingByService = Map.of();
    private Runnable onChanged = () -> {};
    private Consumer<EndpointRecord> onGone = endpoint -> {};

    /** Creates a controller that knows no endpoint yet. */
    public EndpointController(
            StoreClient store, FollowerSettings settings, DelayedRunner timer, Clock clock, EventSink events) {
        this.events = events;
        this.clock = clock;
        this.timer = timer;
        this.follower = new LogFollower(
                store, StoreTopic.ENDPOINTS, settings, timer, clock, events, new LogFollower.Listener() {
                    @Override
                    public void onSnapshot(List<KeyedRecord> records) {
                        takeSnapshot(records);
                    }

                    @Override
                    public void onRecords(List<KeyedRecord> records) {
                        records.forEach(EndpointController.this::onRecord);
                        publish();
                    }
                });
    }

    /**
     * Starts to follow registrations.
     *
     * @param changed runs after each change
     * @param gone runs for each endpoint that takes no more calls
     */
    public void start(Runnable changed, Consumer<EndpointRecord> gone) {
        onChanged = changed;
        onGone = gone;
        follower.restart();
    }

    /** Reads again at once, because what is believed may be older than it looks. */
    public void refresh() {
        follower.restart();
    }

    /** Stops following. */
    public void stop() {
        follower.stop();
    }

    /** Returns how long ago the registrations were last read. */
    public long ageMillis() {
        return follower.age().millis();
    }

    /** Returns the endpoints of {@code service} that take new calls. */
    public List<EndpointRecord> serving(String service) {
        return servingByService.getOrDefault(service, List.of());
    }

    /** Returns the endpoint named {@code id}, empty where none is registered. */
    public Optional<EndpointRecord> find(EndpointId id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /** Returns all endpoints that are registered. */
    public List<EndpointRecord> all() {
        return List.copyOf(endpoints.values());
    }

    private void takeSnapshot(List<KeyedRecord> records) {
        Set<EndpointId> listed = new HashSet<>();
        for (KeyedRecord record : records) {
            onRecord(record);
            if (record.value() != null && !record.key().isBlank()) {
                listed.add(new EndpointId(record.key()));
            }
        }
        for (EndpointId known : List.copyOf(endpoints.keySet())) {
            if (!listed.contains(known)) {
                onMissing(known);
            }
        }
        publish();
    }

    private void onRecord(KeyedRecord record) {
        if (record.key().isBlank()) {
            events.emit(new ControlEvent(ControlEventKind.RECORD_REJECTED, "endpoint", "no key", 0));
            return;
        }
        EndpointId id = new EndpointId(record.key());
        byte[] value = record.value();
        if (value == null) {
            onMissing(id);
            return;
        }
        try {
            EndpointRecord read = EndpointRecordAdapter.decode(record.key(), value);
            lapsedMillis.remove(id);
            EndpointRecord before = endpoints.put(id, read);
            if (before != null && !before.isSameIncarnation(read)) {
                onGone.accept(before);
            }
            if (!read.equals(before)) {
                noteChange(read);
            }
            if (read.isDraining() && (before == null || !before.isDraining())) {
                onGone.accept(read);
            }
        } catch (RecordRejectedException e) {
            events.emit(new ControlEvent(
                    ControlEventKind.RECORD_REJECTED, record.key(), String.valueOf(e.getMessage()), 0));
        }
    }

    private void noteChange(EndpointRecord read) {
        String seat = read.seat() == null ? "" : " " + read.seat();
        events.emit(new ControlEvent(
                ControlEventKind.ENDPOINT_CHANGED,
                read.id().value(),
                (read.isDraining() ? "draining" : "ready") + " at " + read.host() + ":" + read.port() + " of "
                        + read.service() + seat,
                0));
    }

    private void onMissing(EndpointId id) {
        if (!endpoints.containsKey(id)) {
            return;
        }
        boolean mayReturn = follower.isLost() || follower.millisSinceRegained() < RETURN_MILLIS;
        if (!mayReturn) {
            remove(id, "gone");
            return;
        }
        if (lapsedMillis.putIfAbsent(id, clock.monotonicMillis()) == null) {
            long leftMillis = Math.max(1, RETURN_MILLIS - follower.millisSinceRegained());
            timer.runAfter(leftMillis, () -> {
                if (lapsedMillis.containsKey(id)) {
                    remove(id, "lapsed and did not return");
                    publish();
                }
            });
        }
    }

    private void remove(EndpointId id, String reason) {
        lapsedMillis.remove(id);
        @Nullable EndpointRecord before = endpoints.remove(id);
        if (before != null) {
            events.emit(new ControlEvent(ControlEventKind.ENDPOINT_CHANGED, id.value(), reason, 0));
            onGone.accept(before);
        }
    }

    private void publish() {
        servingByService = EndpointEligibility.serving(endpoints.values());
        onChanged.run();
    }
}
