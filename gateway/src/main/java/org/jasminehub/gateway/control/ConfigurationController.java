package org.jasminehub.gateway.control;

import java.util.List;
import java.util.Optional;
import org.jasminehub.core.balance.StateAge;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.platform.hosted.RecordRejectedException;
import org.jasminehub.platform.hosted.RouteTableAdapter;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the configuration in force, which only moves forward.
 *
 * <p>Used on the process's event loop only.
 */
public final class ConfigurationController {
    /** Knowledge older than this helps nobody, and its sum with other times must not overflow. */
    private static final long MAX_PEER_AGE_MILLIS = 60_000;

    private final EventSink events;
    private final LogFollower follower;
    private @Nullable RouteTable inForce;
    private byte @Nullable [] bytesInForce;
    private Runnable onApplied = () -> {};

    /** Creates a controller that knows no configuration yet. */
    public ConfigurationController(
            StoreClient store, FollowerSettings settings, DelayedRunner timer, Clock clock, EventSink events) {
        this.events = events;
        this.follower = new LogFollower(
                store, StoreTopic.CONFIGURATION, settings, timer, clock, events, new LogFollower.Listener() {
                    @Override
                    public void onSnapshot(List<KeyedRecord> records) {
                        records.forEach(ConfigurationController.this::onRecord);
                    }

                    @Override
                    public void onRecords(List<KeyedRecord> records) {
                        records.forEach(ConfigurationController.this::onRecord);
                    }
                });
    }

    /** Starts to follow the configuration; {@code applied} runs after each version that takes force. */
    public void start(Runnable applied) {
        onApplied = applied;
        follower.restart();
    }

    /** Reads again at once, because what is believed may be older than it looks. */
    public void refresh() {
        follower.restart();
    }

    /** Returns the configuration in force, empty before the first one. */
    public Optional<RouteTable> inForce() {
        return Optional.ofNullable(inForce);
    }

    /** Returns the configuration in force as it was written, null before the first one. */
    public byte @Nullable [] bytesInForce() {
        return bytesInForce;
    }

    /** Returns how long ago it was last known that no newer version exists. */
    public long ageMillis() {
        return follower.age().millis();
    }

    /** Returns whether the store does not answer at present. */
    public boolean isStoreLost() {
        return follower.isLost();
    }

    /** Takes a configuration that a peer passed on, together with how old the peer's own knowledge is. */
    public void onPeerConfiguration(byte[] bytes) {
        apply(bytes);
    }

    /**
     * Notes that a peer with the same version knew it to be the newest one.
     *
     * @param asked when the question was sent that the peer answered
     * @param peerAgeMillis how old the peer's own knowledge was when it answered
     */
    public void onPeerKnows(StateAge.ClockReading asked, long peerAgeMillis) {
        if (peerAgeMillis >= 0 && peerAgeMillis < MAX_PEER_AGE_MILLIS) {
            follower.age()
                    .confirm(new StateAge.ClockReading(
                            asked.monotonicMillis() - peerAgeMillis, asked.wallMillis() - peerAgeMillis));
        }
    }

    /** Stops following. */
    public void stop() {
        follower.stop();
    }

    private void onRecord(KeyedRecord record) {
        byte[] value = record.value();
        if (record.key().equals(StoreTopic.CONFIGURATION_KEY) && value != null) {
            apply(value);
        }
    }

    private void apply(byte[] bytes) {
        try {
            RouteTable table = RouteTableAdapter.decode(bytes);
            RouteTable known = inForce;
            if (known != null && table.version() <= known.version()) {
                return;
            }
            inForce = table;
            bytesInForce = bytes;
            events.emit(new ControlEvent(
                    ControlEventKind.CONFIGURATION_APPLIED, "version " + table.version(), bytes.length + " bytes", 0));
            onApplied.run();
        } catch (RecordRejectedException e) {
            events.emit(new ControlEvent(
                    ControlEventKind.RECORD_REJECTED, "configuration", String.valueOf(e.getMessage()), 0));
        }
    }
}
