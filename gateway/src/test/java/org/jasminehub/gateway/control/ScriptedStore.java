package org.jasminehub.gateway.control;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.platform.hosted.StoreCall;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreResponse;
import org.jasminehub.platform.hosted.StoreTopic;

/** A follower under a manual clock; the test answers each of its reads. */
final class ScriptedStore {
    /** A read that has not been answered. */
    record OpenRead(String uri, CompletableFuture<StoreResponse> response) {}

    private record Delayed(long atMillis, Runnable action) {}

    final ManualClock clock = new ManualClock(1_000);
    final EraTracker eras = new EraTracker(clock);
    final Deque<OpenRead> reads = new ArrayDeque<>();
    final List<Event> events = new ArrayList<>();
    private final List<Delayed> timers = new ArrayList<>();
    private final StoreClient client = new StoreClient(
            (call, timeoutMillis) -> {
                CompletableFuture<StoreResponse> response = new CompletableFuture<>();
                reads.add(open(call, response));
                return response;
            },
            eras);

    private static OpenRead open(StoreCall call, CompletableFuture<StoreResponse> response) {
        return new OpenRead(call.uri(), response);
    }

    LogFollower follow(FollowerSettings settings, LogFollower.Listener listener) {
        return new LogFollower(
                client, StoreTopic.INSTANCES, settings, this::runAfter, clock, events::add, eras, listener);
    }

    private void runAfter(long delayMillis, Runnable action) {
        if (delayMillis == 0) {
            action.run();
        } else {
            timers.add(new Delayed(clock.monotonicMillis() + delayMillis, action));
        }
    }

    /** Advances the clock and runs what is due. */
    void advance(long millis) {
        clock.advanceMillis(millis);
        List<Delayed> due = timers.stream()
                .filter(each -> each.atMillis() <= clock.monotonicMillis())
                .toList();
        timers.removeAll(due);
        due.forEach(each -> each.action().run());
    }

    /** Answers the oldest open read with the newest records of an empty log. */
    void answerEmptySnapshot() {
        answer("{\"items\":[],\"has_more\":false,\"end\":0}".getBytes(StandardCharsets.UTF_8));
    }

    /** Answers the oldest open read with a record for each key. */
    void answerRecords(String... keys) {
        ByteBuffer body = ByteBuffer.allocate(1_000);
        body.putLong(0).putLong(0);
        for (String key : keys) {
            byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
            body.putInt(2 + bytes.length).put((byte) bytes.length).put(bytes).put((byte) 'x');
        }
        byte[] used = new byte[body.position()];
        body.flip().get(used);
        answer(used);
    }

    private void answer(byte[] body) {
        reads.remove().response().complete(new StoreResponse(200, name -> null, body));
    }
}
