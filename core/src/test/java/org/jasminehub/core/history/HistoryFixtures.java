package org.jasminehub.core.history;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.TeamId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;

/** Documents, records, members and an in-memory log for the tests of this package. */
final class HistoryFixtures {
    static final String INVALID_DOCUMENT = "schemaVersion: 1\nteam: drafts\nworkspaces: []\n";
    static final int PAGE_RECORDS = 3;

    private static final int MAX_PAGES = 1_000;

    private HistoryFixtures() {}

    static String document(String team, int skewWeight) {
        return "schemaVersion: 1\nteam: " + team + "\nworkspaces: []\nroutes: []\nexperts: {skewWeight: " + skewWeight
                + ", moveWeight: 1}\n";
    }

    static PublishRecord publish(String team, long base, String nonce) {
        return new PublishRecord(team, base, nonce, "operator-of-" + nonce, "test", 0, document(team, 1));
    }

    static PublishRecord invalidPublish(String team, long base, String nonce) {
        return new PublishRecord(team, base, nonce, "operator-of-" + nonce, "test", 0, INVALID_DOCUMENT);
    }

    static HistoryReplay newReplay() {
        return new HistoryReplay(new DocumentYamlAdapter());
    }

    static Member entry(int number, String domain) {
        return new Member(
                new InstanceId("entry-" + number),
                MemberRole.ENTRY,
                MemberState.LIVE,
                new FailureDomain(domain),
                "127.0.0.1",
                7000,
                8000,
                List.of());
    }

    /** An in-memory log that can drop its oldest records. */
    static final class Log {
        private final HistoryRecordCodec codec = new HistoryRecordCodec();
        private final List<byte[]> payloads = new ArrayList<>();
        private long firstOffset;

        long append(HistoryRecord record) {
            return append(codec.encode(record));
        }

        long append(String text) {
            return append(text.getBytes(StandardCharsets.UTF_8));
        }

        long append(byte[] payload) {
            payloads.add(payload);
            return payloads.size() - 1;
        }

        void appendSnapshot(HistoryState state, String round) {
            new SnapshotSplitter(1).split(state, round, "entry-1", 0).forEach(this::append);
        }

        void dropBelow(long offset) {
            firstOffset = Math.max(firstOffset, offset);
        }

        long nextOffset() {
            return payloads.size();
        }

        byte[] payload(long offset) {
            return payloads.get((int) offset);
        }

        List<OffsetRecord> records(long from, int count) {
            List<OffsetRecord> records = new ArrayList<>();
            for (long offset = Math.max(from, firstOffset); offset < nextOffset() && records.size() < count; offset++) {
                records.add(new OffsetRecord(offset, payload(offset)));
            }
            return records;
        }

        /** Returns all records ever appended, including dropped ones. */
        List<OffsetRecord> allRecords() {
            return IntStream.range(0, payloads.size())
                    .mapToObj(offset -> new OffsetRecord(offset, payloads.get(offset)))
                    .toList();
        }

        /** Applies one page to {@code replay} and returns the resulting events. */
        List<HistoryEvent> readPage(HistoryReplay replay, int pageRecords) {
            return replay.applyLogPage(firstOffset, records(replay.nextOffset(), pageRecords));
        }

        /** Applies all pages up to the end to {@code replay} and returns the resulting events. */
        List<HistoryEvent> readAll(HistoryReplay replay) {
            List<HistoryEvent> events = new ArrayList<>(readPage(replay, PAGE_RECORDS));
            for (int pages = 0; replay.nextOffset() < nextOffset(); pages++) {
                assertTrue(pages < MAX_PAGES, "the replay makes no progress");
                events.addAll(readPage(replay, PAGE_RECORDS));
            }
            return events;
        }

        /** Returns a replay of all records ever appended, including dropped ones. */
        HistoryReplay replayAllFromStart() {
            HistoryReplay replay = newReplay();
            replay.applyLogPage(0, allRecords());
            return replay;
        }

        HistoryReplay replayAll() {
            HistoryReplay replay = newReplay();
            readAll(replay);
            return replay;
        }
    }

    static long version(HistoryReplay replay, String team) {
        return replay.state().version(new TeamId(team));
    }
}
