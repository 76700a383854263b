package org.jasminehub.bench.routing;

import java.util.List;
import org.jasminehub.core.document.Priority;

/**
 * The size and the kinds of requests of one deployment.
 *
 * @param name the name shown in the table headings
 * @param callerMillis the one-way delay between callers and entry instances
 * @param shapes the kinds of requests
 */
record Deployment(String name, double callerMillis, List<RequestShape> shapes) {
    static final int ENDPOINTS = 12;
    static final int ENTRIES = 6;
    static final int DOMAINS = 3;
    static final int WORKSPACES = 10;
    static final int LARGE_WORKSPACES = 3;
    static final double CROSS_DOMAIN_DELAY_MILLIS = 1.5;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double FULL_PERCENT = 100;

    /** Returns a deployment with requests for caption drafts, briefs and pitches. */
    static Deployment campaigns() {
        return new Deployment(
                "campaigns",
                1,
                List.of(
                        new RequestShape(70, Priority.URGENT, 800, 600, 120, 10_000),
                        new RequestShape(20, Priority.NORMAL, 4000, 1000, 400, 40_000),
                        new RequestShape(10, Priority.BATCH, 1200, 600, 500, 60_000)));
    }

    /** Returns a deployment with short questions about tides and longer ones about herds. */
    static Deployment pastures() {
        return new Deployment(
                "pastures",
                3,
                List.of(
                        new RequestShape(85, Priority.URGENT, 500, 300, 60, 5_000),
                        new RequestShape(15, Priority.NORMAL, 900, 300, 250, 20_000)));
    }

    /** Returns the requests per second that all endpoints finish with full batches and no prefix cache hits. */
    double capacityPerSecond() {
        double millisPerRequest = 0;
        for (RequestShape shape : shapes) {
            double tokenMillis =
                    FakeEngine.BASE_STEP_MILLIS / FakeEngine.CAPACITY_REQUESTS + FakeEngine.STEP_MILLIS_PER_REQUEST;
            double millis =
                    shape.answerTokens() * tokenMillis + shape.promptTokens() * FakeEngine.PREFILL_MILLIS_PER_TOKEN;
            millisPerRequest += shape.percent() / FULL_PERCENT * millis;
        }
        return ENDPOINTS * MILLIS_PER_SECOND / millisPerRequest;
    }
}
