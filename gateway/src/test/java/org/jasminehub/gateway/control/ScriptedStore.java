package org.jasminehub.gateway.control;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.hosted.KeyedRecord;
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

    void runAfter(long delayMillis, Runnable action) {
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

    /** Answers the oldest open read with a record for each key, which are the last ones of the log. */
    void answerRecords(String... keys) {
        answerRecordsOfLog(nextFrom() + keys.length, keys);
    }

    /** Returns the offset from which the oldest open read reads. */
    long nextFrom() {
        return Long.parseLong(new QueryStringDecoder(reads.element().uri())
                .parameters()
                .get("from")
                .get(0));
    }

    /** Answers the oldest open read with a record for each key, and states that the log ends at {@code endOffset}. */
    void answerRecordsOfLog(long endOffset, String... keys) {
        byte[] value = {'x'};
        answerKeyedRecords(
                endOffset,
                Stream.of(keys)
                        .map(key -> new KeyedRecord(key, value, KeyedRecord.UNKNOWN_OFFSET))
                        .toArray(KeyedRecord[]::new));
    }

    /** Answers the oldest open read with {@code records}, and states that the log ends at {@code endOffset}. */
    void answerKeyedRecords(long endOffset, KeyedRecord... records) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(ByteBuffer.allocate(16).putLong(endOffset).putLong(0).array());
        for (KeyedRecord record : records) {
            byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
            byte[] value = record.value() == null ? new byte[0] : record.value();
            int length = 1 + key.length + value.length;
            body.writeBytes(ByteBuffer.allocate(4 + length)
                    .putInt(length)
                    .put((byte) key.length)
                    .put(key)
                    .put(value)
                    .array());
        }
        answer(body.toByteArray());
    }

    /** Answers the oldest open read with the newest records, and states that the log ends at {@code endOffset}. */
    void answerNewest(long endOffset, KeyedRecord... records) {
        answerNewestPage(endOffset, false, records);
    }

    /** Answers the oldest open read with a page of the newest records. */
    void answerNewestPage(long endOffset, boolean hasMore, KeyedRecord... records) {
        String items = Stream.of(records)
                .map(record -> "{\"key\":\"" + record.key() + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(record.value()) + "\"}")
                .collect(Collectors.joining(","));
        answer(("{\"items\":[" + items + "],\"has_more\":" + hasMore + ",\"end\":" + endOffset + "}")
                .getBytes(StandardCharsets.UTF_8));
    }

    /** Fails the oldest open read. */
    void fail() {
        reads.remove().response().completeExceptionally(new PlatformException("store", "no response", null));
    }

    StoreClient client() {
        return client;
    }

    /** Answers the oldest open read with {@code body}. */
    void answer(byte[] body) {
        answer(200, body);
    }

    /** Answers the oldest open read with {@code status} and {@code body}. */
    void answer(int status, byte[] body) {
        reads.remove().response().complete(new StoreResponse(status, name -> null, body));
    }
}
