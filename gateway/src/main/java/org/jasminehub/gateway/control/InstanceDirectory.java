package org.jasminehub.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jasminehub.wire.generated.InstanceRecord;

/**
 * Knows the entry instances of this system, and keeps this one registered.
 *
 * <p>Used on the process's event loop only.
 */
public final class InstanceDirectory {
    /** A registration is one small append; the store answers those within a few milliseconds when it is well. */
    private static final long APPEND_TIMEOUT_MILLIS = 1_000;

    private static final long APPEND_RETRY_MILLIS = 1_000;

    private final InstanceRecord self;
    private final StoreClient store;
    private final DelayedRunner timer;
    private final EventSink events;
    private final LogFollower follower;
    private final Map<String, InstanceRecord> instances = new HashMap<>();
    private Runnable onChanged = () -> {};
    private boolean isRegistered;
    private boolean isLeaving;

    /** Creates a directory in which {@code self} is not registered yet. */
    public InstanceDirectory(
            InstanceRecord self,
            StoreClient store,
            FollowerSettings settings,
            DelayedRunner timer,
            Clock clock,
            EventSink events) {
        this.self = self;
        this.store = store;
        this.timer = timer;
        this.events = events;
        this.follower = new LogFollower(
                store, StoreTopic.INSTANCES, settings, timer, clock, events, new LogFollower.Listener() {
                    @Override
                    public void onSnapshot(List<KeyedRecord> records) {
                        takeSnapshot(records);
                    }

                    @Override
                    public void onRecords(List<KeyedRecord> records) {
                        records.forEach(InstanceDirectory.this::onRecord);
                        onChanged.run();
                    }
                });
    }

    /** Registers this instance and follows the others; {@code changed} runs after each change. */
    public void start(Runnable changed) {
        onChanged = changed;
        register();
        follower.restart();
    }

    /** Takes this instance's registration back. */
    public void leave() {
        isLeaving = true;
        store.append(StoreTopic.INSTANCES, self.getInstance(), null, APPEND_TIMEOUT_MILLIS)
                .whenComplete((done, failure) -> {
                    if (failure != null) {
                        events.emit(new ControlEvent(
                                ControlEventKind.STORE_LOST,
                                self.getInstance(),
                                "the registration could not be taken back: " + failure.getMessage(),
                                0));
                    }
                });
    }

    /** Stops following. */
    public void stop() {
        follower.stop();
    }

    /** Returns every instance that is registered, this one included once it is. */
    public List<InstanceRecord> all() {
        return List.copyOf(instances.values());
    }

    private void register() {
        if (isLeaving) {
            return;
        }
        store.append(StoreTopic.INSTANCES, self.getInstance(), self.toByteArray(), APPEND_TIMEOUT_MILLIS)
                .whenComplete((done, failure) -> {
                    isRegistered = failure == null;
                    if (failure != null) {
                        timer.runAfter(APPEND_RETRY_MILLIS, this::register);
                    }
                });
    }

    private void takeSnapshot(List<KeyedRecord> records) {
        Set<String> listed = new HashSet<>();
        records.forEach(record -> {
            onRecord(record);
            listed.add(record.key());
        });
        instances.keySet().retainAll(listed);
        if (isRegistered && !listed.contains(self.getInstance())) {
            register();
        }
        onChanged.run();
    }

    private void onRecord(KeyedRecord record) {
        byte[] value = record.value();
        if (value == null) {
            if (instances.remove(record.key()) != null) {
                emit(record.key(), "gone");
            }
            return;
        }
        try {
            InstanceRecord read = InstanceRecord.parseFrom(value);
            if (!read.equals(instances.put(record.key(), read))) {
                emit(record.key(), read.getHost() + ":" + read.getCallerPort() + " in " + read.getFailureDomain());
            }
        } catch (InvalidProtocolBufferException e) {
            events.emit(new ControlEvent(
                    ControlEventKind.RECORD_REJECTED, record.key(), String.valueOf(e.getMessage()), 0));
        }
    }

    private void emit(String instance, String detail) {
        events.emit(new ControlEvent(ControlEventKind.INSTANCE_CHANGED, instance, detail, 0));
    }
}
