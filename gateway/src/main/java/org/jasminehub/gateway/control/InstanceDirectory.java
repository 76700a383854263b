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

/** Holds the registered entry instances and rank agents. Must be used on the process's event loop only. */
public final class InstanceDirectory {
    private final InstanceRegistration registration;
    private final EventSink events;
    private final LogFollower follower;
    private final Map<String, InstanceRecord> instances = new HashMap<>();
    private Runnable onChanged = () -> {};

    /** Creates an empty directory. */
    public InstanceDirectory(
            InstanceRegistration registration,
            StoreClient store,
            FollowerSettings settings,
            DelayedRunner timer,
            Clock clock,
            EventSink events) {
        this.registration = registration;
        this.events = events;
        this.follower = new LogFollower(
                store, StoreTopic.INSTANCES, settings, timer, clock, events, new LogFollower.Listener() {
                    @Override
                    public void onSnapshot(List<KeyedRecord> records) {
                        applySnapshot(records);
                    }

                    @Override
                    public void onRecords(List<KeyedRecord> records) {
                        records.forEach(InstanceDirectory.this::onRecord);
                        onChanged.run();
                    }
                });
    }

    /** Registers this process and starts to follow the registrations; {@code changed} runs after each change. */
    public void start(Runnable changed) {
        onChanged = changed;
        registration.register();
        follower.restart();
    }

    /** Stops following the log. */
    public void stop() {
        follower.stop();
    }

    /** Returns the registered entry instances, including this one once its own registration has been read. */
    public List<InstanceRecord> entries() {
        return instances.values().stream()
                .filter(each -> !each.getIsRankAgent())
                .toList();
    }

    /** Returns the registered rank agents. */
    public List<InstanceRecord> rankAgents() {
        return instances.values().stream()
                .filter(InstanceRecord::getIsRankAgent)
                .toList();
    }

    private void applySnapshot(List<KeyedRecord> records) {
        Set<String> listed = new HashSet<>();
        records.forEach(record -> {
            onRecord(record);
            listed.add(record.key());
        });
        instances.keySet().retainAll(listed);
        if (registration.isRegistered() && !listed.contains(registration.self().getInstance())) {
            registration.register();
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
            InstanceRecord decoded = InstanceRecord.parseFrom(value);
            if (!decoded.equals(instances.put(record.key(), decoded))) {
                emit(record.key(), decoded.getHost() + " in " + decoded.getFailureDomain());
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
