package org.jasminehub.gateway.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.error.InvalidArgumentException;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.quarantine.PartCombination;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.platform.hosted.RecordRejectedException;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jasminehub.wire.generated.InstanceRecord;
import org.jasminehub.wire.generated.QuarantinedParts;
import org.jspecify.annotations.Nullable;

/** Holds the registered entry instances and rank agents. Must be used on the process's event loop only. */
public final class InstanceDirectory {
    /** Starts the keys of quarantined parts, which are kept in the same log; the rest is the parts. */
    public static final String QUARANTINE_KEY_PREFIX = "quarantine/";

    /** Covers the spread of new registrations after a restore and a few retries. */
    private static final long MISSING_INSTANCE_KEPT_MILLIS = 5_000;

    private final InstanceRegistration registration;
    private final EventSink events;
    private final EraTracker eras;
    private final Clock clock;
    private final LogFollower follower;
    private final Map<String, InstanceRecord> instances = new HashMap<>();
    private final Map<String, Long> quarantinedUntilWallMillis = new HashMap<>();
    /** The instances without a registration in the last snapshot; the records after it may hold one. */
    private final Set<String> unlisted = new HashSet<>();

    private Runnable onChanged = () -> {};
    private boolean isSnapshotPending;
    private boolean hasRead;

    /** Creates an empty directory. */
    public InstanceDirectory(
            InstanceRegistration registration,
            StoreClient store,
            FollowerSettings settings,
            DelayedRunner timer,
            Clock clock,
            EventSink events,
            EraTracker eras) {
        this.registration = registration;
        this.events = events;
        this.eras = eras;
        this.clock = clock;
        this.follower = new LogFollower(
                store, StoreTopic.INSTANCES, settings, timer, clock, events, eras, new LogFollower.Listener() {
                    @Override
                    public void onSnapshot(List<KeyedRecord> records) {
                        applySnapshot(records);
                    }

                    @Override
                    public void onRecords(List<KeyedRecord> records) {
                        records.forEach(InstanceDirectory.this::onRecord);
                        onChanged.run();
                    }

                    @Override
                    public void onEndReached(long asOfMillis) {
                        removeUnlisted();
                    }
                });
        // Instances that are missing from the restored store register again shortly after the lost records count as
        // written again; those that do not are dropped then.
        eras.onRise(() -> timer.runAfter(eras.rewriteRemainingMillis() + MISSING_INSTANCE_KEPT_MILLIS, () -> {
            if (!eras.isRewriting()) {
                follower.readAllAgain();
            }
        }));
    }

    /** Starts to follow the registrations; {@code changed} runs after each change, first when they have been read. */
    public void start(Runnable changed) {
        onChanged = changed;
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

    /** Returns the texts of the recorded quarantines with their end in wall-clock time. */
    public Map<String, Long> quarantines() {
        return Map.copyOf(quarantinedUntilWallMillis);
    }

    /** Returns whether the directory has been read up to the end of its log. */
    public boolean hasRead() {
        return hasRead;
    }

    /** Returns the eras in the registrations of all other entry instances, 0 where one states none. */
    public List<Long> erasOfOthers() {
        return entries().stream()
                .filter(each -> !each.getInstance().equals(registration.self().getInstance()))
                .map(InstanceRecord::getStoreEra)
                .toList();
    }

    private boolean isSettled() {
        return eras.isCompleteSince(clock.monotonicMillis() - MISSING_INSTANCE_KEPT_MILLIS);
    }

    private void applySnapshot(List<KeyedRecord> records) {
        Set<String> listed = new HashSet<>();
        records.forEach(record -> {
            onRecord(record);
            listed.add(record.key());
        });
        unlisted.clear();
        unlisted.addAll(instances.keySet());
        unlisted.add(registration.self().getInstance());
        unlisted.removeAll(listed);
        isSnapshotPending = true;
        onChanged.run();
    }

    /** Draws the conclusions from a snapshot, once the records up to the end of the log have been read. */
    private void removeUnlisted() {
        if (!isSnapshotPending) {
            return;
        }
        isSnapshotPending = false;
        hasRead = true;
        if (isSettled()) {
            instances.keySet().removeAll(unlisted);
        }
        boolean isSelfUnlisted = unlisted.contains(registration.self().getInstance());
        unlisted.clear();
        if (!eras.isRewriting() && registration.isRegistered() && isSelfUnlisted) {
            registration.register();
        }
        onChanged.run();
    }

    private void onRecord(KeyedRecord record) {
        byte[] value = record.value();
        if (record.key().startsWith(QUARANTINE_KEY_PREFIX) && record.key().length() > QUARANTINE_KEY_PREFIX.length()) {
            onQuarantineRecord(record.key().substring(QUARANTINE_KEY_PREFIX.length()), value);
            return;
        }
        if (value == null) {
            if (instances.remove(record.key()) != null) {
                emit(record.key(), "gone");
            }
            return;
        }
        unlisted.remove(record.key());
        try {
            InstanceRecord decoded = InstanceRecordDecoder.decode(record.key(), value);
            if (!decoded.equals(instances.put(record.key(), decoded))) {
                emit(record.key(), decoded.getHost() + " in " + decoded.getFailureDomain());
            }
        } catch (RecordRejectedException e) {
            // The instance registers only once, so its earlier registration holds.
            events.emit(new ControlEvent(
                    ControlEventKind.RECORD_REJECTED, record.key(), String.valueOf(e.getMessage()), 0));
        }
    }

    private void onQuarantineRecord(String parts, byte @Nullable [] value) {
        try {
            if (value == null) {
                quarantinedUntilWallMillis.remove(parts);
            } else {
                // Users of the quarantines parse the key, which names no part if another writer chose it.
                PartCombination.parse(parts);
                long untilWallMillis = QuarantinedParts.parseFrom(value).getUntilWallMillis();
                quarantinedUntilWallMillis.put(parts, Checks.notNegative("end of a quarantine", untilWallMillis));
            }
        } catch (InvalidProtocolBufferException | InvalidArgumentException e) {
            events.emit(new ControlEvent(
                    ControlEventKind.RECORD_REJECTED,
                    QUARANTINE_KEY_PREFIX + parts,
                    String.valueOf(e.getMessage()),
                    0));
        }
    }

    private void emit(String instance, String detail) {
        events.emit(new ControlEvent(ControlEventKind.INSTANCE_CHANGED, instance, detail, 0));
    }
}
