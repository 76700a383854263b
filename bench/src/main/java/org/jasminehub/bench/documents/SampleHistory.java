package org.jasminehub.bench.documents;

import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.history.HistoryState;
import org.jasminehub.core.history.OffsetRecord;
import org.jasminehub.core.history.PublishRecord;

/** Creates publish records of many teams, each document with ten workspaces and five routes. */
final class SampleHistory {
    private static final int WORKSPACES = 10;
    private static final int ROUTES = 5;

    private SampleHistory() {}

    /** Returns {@code rounds} publishes for each of {@code teams} teams; each is based on the team's previous version. */
    static List<OffsetRecord> records(int teams, int rounds) {
        HistoryRecordCodec codec = new HistoryRecordCodec();
        List<OffsetRecord> records = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            for (int team = 0; team < teams; team++) {
                long base = round == 0 ? HistoryState.NO_VERSION : (long) (round - 1) * teams + team;
                records.add(new OffsetRecord(records.size(), codec.encode(publish(team, base, round))));
            }
        }
        return records;
    }

    private static PublishRecord publish(int team, long base, int round) {
        String name = "team-" + team;
        String nonce = "nonce-" + team + "-" + round + "-0123456789abcdef";
        return new PublishRecord(
                name, base, nonce, "operator-" + team, "weekly campaign change", 1_800_000_000_000L, text(name, round));
    }

    private static String text(String team, int round) {
        StringBuilder text = new StringBuilder("schemaVersion: 1\nteam: " + team + "\nworkspaces:\n");
        for (int i = 0; i < WORKSPACES; i++) {
            text.append("  - {name: ").append(team).append("-workspace-").append(i);
            text.append(", weight: 1, requestsPerSecond: ").append(5 + round);
            text.append(", tokensPerSecond: 2500, concurrentRequests: 8}\n");
        }
        text.append("routes:\n");
        for (int i = 0; i < ROUTES; i++) {
            text.append("  - name: route-").append(i).append("\n    target: model/campaign-text\n    kind: STREAM\n");
            text.append("    methods: [POST]\n    pathPrefix: /v1/chat/completions\n    priority: URGENT\n");
            text.append("    deadlineMillis: 60000\n    firstTokenMillis: 570\n");
            text.append("    retry: {maxAttempts: 3, budgetPercent: 10}\n");
        }
        return text.append("experts: {skewWeight: 1, moveWeight: 4}\n").toString();
    }
}
