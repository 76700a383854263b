package org.jasminehub.gateway.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.jasminehub.core.balance.StateAge;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.platform.hosted.LogSlice;
import org.jasminehub.platform.hosted.RecordRejectedException;
import org.jasminehub.platform.hosted.RouteTableAdapter;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jspecify.annotations.Nullable;

/**
 * Holds the configuration in force; its version only increases.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class ConfigurationController {
    /** Older confirmations are useless; the limit also prevents an overflow when ages are subtracted from times. */
    private static final long MAX_PEER_AGE_MILLIS = 60_000;

    /**
     * Longest time for which versions are not applied because later ones may follow. Reads up to the end of the log take
     * less unless the store is slow.
     */
    private static final long MAX_DEFERRAL_MILLIS = 250;

    private final EventSink events;
    private final DelayedRunner timer;
    private final ConfigurationReads reads;
    private final LogFollower follower;
    private @Nullable RouteTable inForce;
    private byte @Nullable [] bytesInForce;
    /** The newest version that the store has shown since all records were last read. */
    private long newestStoredVersion;
    /** The versions of the last read that had any, oldest first, while the log holds more records than were read. */
    private List<KeyedRecord> deferred = List.of();

    private boolean isBehind;

    private Runnable onApplied = () -> {};

    /**
     * Creates a controller without a configuration.
     *
     * @param listener receives the other records of the operator's log
     */
    public ConfigurationController(
            StoreClient store,
            ConfigurationReads reads,
            FollowerSettings settings,
            DelayedRunner timer,
            Clock clock,
            EventSink events,
            EraTracker eras,
            OperatorLogListener listener) {
        this.events = events;
        this.timer = timer;
        this.reads = reads;
        this.follower = new LogFollower(
                store, StoreTopic.CONFIGURATION, settings, timer, clock, events, eras, new LogFollower.Listener() {
                    @Override
                    public void onSlice(LogSlice slice, boolean isSnapshot, OptionalLong asOfMillis) {
                        isBehind = slice.isBehind();
                        listener.onOperatorLog(slice, isSnapshot, asOfMillis);
                    }

                    @Override
                    public void onSnapshot(List<KeyedRecord> records) {
                        applyDeferred();
                        newestStoredVersion = 0;
                        onVersions(records);
                    }

                    @Override
                    public void onRecords(List<KeyedRecord> records) {
                        onVersions(records);
                    }

                    @Override
                    public void onEndReached(long asOfMillis) {
                        applyDeferred();
                    }

                    @Override
                    public boolean isUpToDate() {
                        RouteTable known = inForce;
                        return known == null || newestStoredVersion >= known.version();
                    }
                });
    }

    /** Starts to follow the configuration log; {@code applied} runs after each version that comes into force. */
    public void start(Runnable applied) {
        onApplied = applied;
        follower.restart();
    }

    /** Reads the log again at once, because the configuration may be older than its recorded age. */
    public void refresh() {
        follower.restart();
    }

    /** Reads the log once without waiting, so that the age is confirmed within a round trip. */
    void readNow() {
        follower.readNow();
    }

    /** Adapts the reads to the {@code live} instances; called several times a second. */
    public void checkReads(Supplier<List<PeerState>> live) {
        reads.check(live, this);
    }

    /** Returns whether to confirm the age of a peer that states {@code peerAgeMillis}. */
    boolean answers(long peerAgeMillis) {
        return reads.answers(peerAgeMillis);
    }

    /** Returns the configuration in force, or empty before the first one has been received. */
    public Optional<RouteTable> inForce() {
        return Optional.ofNullable(inForce);
    }

    /** Returns the serialized form of the configuration in force, or null before the first one has been received. */
    public byte @Nullable [] bytesInForce() {
        return bytesInForce;
    }

    /** Returns the time since the configuration was last confirmed to be the newest version. */
    public long ageMillis() {
        return follower.age().millis();
    }

    /** Returns whether the store is currently not answering. */
    public boolean isStoreLost() {
        return follower.isStoreLost();
    }

    /** Applies a configuration received from a peer if it is newer than the one in force. */
    public void onPeerConfiguration(byte[] bytes) {
        apply(bytes);
    }

    /**
     * Records that a peer confirmed the version in force to be the newest one.
     *
     * @param requestedAt the time at which the request that the peer answered was sent
     * @param peerAgeMillis the age of the peer's own confirmation when it answered
     */
    public void onPeerConfirmation(StateAge.ClockReading requestedAt, long peerAgeMillis) {
        if (peerAgeMillis >= 0 && peerAgeMillis < MAX_PEER_AGE_MILLIS) {
            long previousMillis = ageMillis();
            follower.age()
                    .confirm(new StateAge.ClockReading(
                            requestedAt.monotonicMillis() - peerAgeMillis, requestedAt.wallMillis() - peerAgeMillis));
            if (ageMillis() < previousMillis) {
                reads.onPeerConfirmation();
            }
        }
    }

    /** Stops following the log. */
    public void stop() {
        follower.stop();
    }

    /**
     * Applies the newest version, or defers that while the read is behind the end of the log: decoding a version takes
     * long compared to a read, and the versions between two reads are overtaken most of the time.
     */
    private void onVersions(List<KeyedRecord> records) {
        List<KeyedRecord> versions = records.stream()
                .filter(record -> record.key().equals(StoreTopic.CONFIGURATION_KEY))
                .toList();
        if (versions.isEmpty()) {
            return;
        }
        if (!isBehind) {
            List<KeyedRecord> unapplied = new ArrayList<>(deferred);
            unapplied.addAll(versions);
            deferred = List.of();
            applyNewest(unapplied);
            return;
        }
        if (deferred.isEmpty()) {
            timer.runAfter(MAX_DEFERRAL_MILLIS, this::applyDeferred);
        }
        deferred = versions;
    }

    private void applyDeferred() {
        List<KeyedRecord> versions = deferred;
        deferred = List.of();
        applyNewest(versions);
    }

    /** Applies the last configuration that is newer than the one in force; the ones before it are not decoded. */
    private void applyNewest(List<KeyedRecord> records) {
        for (int index = records.size() - 1; index >= 0; index--) {
            KeyedRecord record = records.get(index);
            byte[] value = record.value();
            if (record.key().equals(StoreTopic.CONFIGURATION_KEY) && value != null) {
                long version = apply(value);
                newestStoredVersion = Math.max(newestStoredVersion, version);
                RouteTable known = inForce;
                // Versions only increase, so the records before this one hold older versions.
                if (known != null && version == known.version()) {
                    return;
                }
            }
        }
    }

    /** Applies a configuration if it is newer than the one in force; returns its version, 0 if it is not valid. */
    private long apply(byte[] bytes) {
        try {
            RouteTable table = RouteTableAdapter.decode(bytes);
            RouteTable known = inForce;
            if (known != null && table.version() <= known.version()) {
                return table.version();
            }
            inForce = table;
            bytesInForce = bytes;
            events.emit(new ControlEvent(
                    ControlEventKind.CONFIGURATION_APPLIED, "version " + table.version(), bytes.length + " bytes", 0));
            onApplied.run();
            return table.version();
        } catch (RecordRejectedException e) {
            events.emit(new ControlEvent(
                    ControlEventKind.RECORD_REJECTED, "configuration", String.valueOf(e.getMessage()), 0));
            return 0;
        }
    }
}
