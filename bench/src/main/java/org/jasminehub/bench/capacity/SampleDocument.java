package org.jasminehub.bench.capacity;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jasminehub.core.history.PublishRecord;

/** Creates the sample document of a team, with ten workspaces and three routes. */
final class SampleDocument {
    static final int WORKSPACES = 10;

    private SampleDocument() {}

    static String yaml(int team) {
        String workspaces = IntStream.range(0, WORKSPACES)
                .mapToObj(number -> workspace(team, number))
                .collect(Collectors.joining());
        return "schemaVersion: 1\nteam: team-" + team + "\nworkspaces:\n" + workspaces + "routes:\n"
                + route("drafts", "model/model-0", "STREAM", "/v1/drafts")
                + route("summaries", "model/model-1", "WHOLE", "/v1/summaries")
                + route("payments", "service/payments", "NON_IDEMPOTENT", "/v1/payments")
                + "experts: {skewWeight: 1.0, moveWeight: 2.0}\n";
    }

    static PublishRecord publish(int team, long baseVersion) {
        return new PublishRecord(
                "team-" + team,
                baseVersion,
                "0123456789abcdef0123456789abcdef",
                "operator-17",
                "raise the limit of the campaign week",
                1_700_000_000_000L,
                yaml(team));
    }

    private static String workspace(int team, int number) {
        return "  - {name: workspace-" + team + "-" + number + ", weight: 2, requestsPerSecond: 30, "
                + "tokensPerSecond: 12000, concurrentRequests: 40}\n";
    }

    private static String route(String name, String target, String kind, String path) {
        return "  - name: " + name + "\n    target: " + target + "\n    kind: " + kind + "\n    methods: [POST]\n"
                + "    pathPrefix: " + path + "\n    priority: NORMAL\n    deadlineMillis: 60000\n"
                + "    firstTokenMillis: 570\n    retry: {maxAttempts: 3, budgetPercent: 10}\n";
    }
}
