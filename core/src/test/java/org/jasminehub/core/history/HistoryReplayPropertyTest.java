package org.jasminehub.core.history;

import static org.jasminehub.core.history.HistoryFixtures.newReplay;
import static org.jasminehub.core.history.HistoryFixtures.publish;
import static org.jasminehub.core.history.HistoryState.NO_VERSION;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jasminehub.core.identity.TeamId;

/**
 * Compares the replay with a direct implementation of the acceptance rule, on random logs that contain concurrent
 * publishes, outdated and incomplete snapshots, duplicates and invalid records.
 */
final class HistoryReplayPropertyTest {
    private static final List<String> TEAMS = List.of("drafts", "payments", "tides");
    private static final int STEPS = 30;

    private record Request(String team, long base) {}

    /** A random log and the versions that a direct implementation of the rule accepts from it. */
    private static final class History {
        private final Random random;
        private final HistoryFixtures.Log log = new HistoryFixtures.Log();
        private final Map<String, Long> versions = new HashMap<>();
        private final Map<Long, Request> publishes = new HashMap<>();
        private final List<HistoryState> states = new ArrayList<>();
        private final HistoryReplay writer = newReplay();

        History(long seed) {
            random = new Random(seed);
            for (int step = 0; step < STEPS; step++) {
                appendRandomRecord(step);
                log.readAll(writer);
                states.add(writer.state());
            }
        }

        private void appendRandomRecord(int step) {
            switch (random.nextInt(8)) {
                case 0 -> log.append("{garbage");
                case 1 -> appendSnapshot(step, true);
                case 2 -> appendSnapshot(step, random.nextBoolean());
                case 3 -> appendDuplicate();
                default -> appendPublish(step);
            }
        }

        private void appendPublish(int step) {
            String team = TEAMS.get(random.nextInt(TEAMS.size()));
            long versionInForce = versions.getOrDefault(team, NO_VERSION);
            long base = random.nextInt(3) == 0 ? random.nextInt(STEPS) - 1 : versionInForce;
            boolean valid = random.nextInt(6) > 0;
            String nonce = "nonce-" + step;
            long offset =
                    log.append(valid ? publish(team, base, nonce) : HistoryFixtures.invalidPublish(team, base, nonce));
            if (valid) {
                publishes.put(offset, new Request(team, base));
                decide(offset, publishes.get(offset));
            }
        }

        private void decide(long offset, Request request) {
            if (request.base() == versions.getOrDefault(request.team(), NO_VERSION)) {
                versions.put(request.team(), offset);
            }
        }

        private void appendSnapshot(int step, boolean complete) {
            HistoryState state = states.isEmpty() || random.nextBoolean()
                    ? writer.state()
                    : states.get(random.nextInt(states.size()));
            List<SnapshotRecord> parts = new SnapshotSplitter(1).split(state, "round-" + step, "entry-1", 0);
            parts.subList(0, complete ? parts.size() : parts.size() - 1).forEach(log::append);
        }

        private void appendDuplicate() {
            if (log.nextOffset() > 0) {
                long duplicated = random.nextInt((int) log.nextOffset());
                long offset = log.append(log.payload(duplicated));
                if (publishes.containsKey(duplicated)) {
                    publishes.put(offset, publishes.get(duplicated));
                    decide(offset, publishes.get(duplicated));
                }
            }
        }

        void assertMatches(HistoryReplay replay) {
            for (String team : TEAMS) {
                assertEquals(
                        versions.getOrDefault(team, NO_VERSION), replay.state().version(new TeamId(team)), team);
            }
            assertEquals(writer.state(), replay.state());
        }
    }

    @Property(seed = "41", tries = 100)
    void testReplayFromFirstRecordFollowsTheRule(@ForAll long seed) {
        History history = new History(seed);
        history.assertMatches(history.log.replayAll());
    }

    @Property(seed = "42", tries = 100)
    void testReplayAfterTruncationReachesSameStateOrDecidesNothing(@ForAll long seed) {
        History history = new History(seed);
        for (long first = 1; first < history.log.nextOffset(); first += 3) {
            history.log.dropBelow(first);
            HistoryReplay replay = newReplay();
            history.log.readAll(replay);
            if (replay.isComplete()) {
                history.assertMatches(replay);
            } else {
                assertTrue(replay.state().documents().isEmpty());
            }
        }
    }

    @Property(seed = "43", tries = 100)
    void testReplayFromAnyPeerStateReachesSameState(@ForAll long seed) {
        History history = new History(seed);
        for (HistoryState state : history.states) {
            HistoryReplay replay = newReplay();
            replay.install(state, "entry-2");
            history.log.readAll(replay);
            history.assertMatches(replay);
        }
    }

    @Property(seed = "44", tries = 100)
    void testVersionsNeverDecreaseDuringTruncationAndPeerRepair(@ForAll long seed) {
        History history = new History(seed);
        Random random = new Random(seed);
        HistoryReplay replay = newReplay();
        Map<String, Long> seen = new HashMap<>();
        for (int step = 0; step < STEPS; step++) {
            applyRandomStep(history, replay, random);
            for (String team : TEAMS) {
                long version = replay.state().version(new TeamId(team));
                assertTrue(version >= seen.getOrDefault(team, NO_VERSION), team);
                seen.put(team, version);
            }
        }
        replay.applyPeerRecords(history.log.allRecords());
        history.assertMatches(replay);
        assertTrue(replay.isComplete());
    }

    private static void applyRandomStep(History history, HistoryReplay replay, Random random) {
        int anyOffset = random.nextInt((int) history.log.nextOffset());
        switch (random.nextInt(5)) {
            case 0 -> history.log.dropBelow(anyOffset / 2);
            case 1 -> replay.install(history.states.get(random.nextInt(STEPS)), "entry-2");
            case 2 -> replay.applyPeerRecords(history.log.records(anyOffset, 5));
            default -> history.log.readPage(replay, 1 + random.nextInt(6));
        }
    }
}
