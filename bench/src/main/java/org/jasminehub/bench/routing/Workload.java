package org.jasminehub.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.routing.PromptPrefix;

/**
 * Generates the requests of ten workspaces, three of them large, with drifting topics and bursts of one large
 * workspace.
 *
 * <p>From load factor 1 on, the load of the small workspaces is constant; the load above the capacity comes from the
 * large workspaces.
 */
final class Workload {
    private static final double SMALL_SHARE = 0.04;
    private static final double BURST_PERIOD_MILLIS = 30_000;
    private static final double BURST_MILLIS = 6_000;
    private static final double BURST_FACTOR = 2;
    private static final int TOPICS = 40;
    private static final double DRIFT_MILLIS_PER_TOPIC = 5_000;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final int FULL_PERCENT = 100;

    private final Scenario scenario;
    private final RandomGenerator random;
    private long nextId;

    Workload(Scenario scenario, RandomGenerator random) {
        this.scenario = scenario;
        this.random = random;
    }

    /** Returns the calls of a run, grouped by workspace and ordered by arrival within each workspace. */
    List<Call> generate() {
        List<Call> calls = new ArrayList<>();
        for (int workspace = 0; workspace < Deployment.WORKSPACES; workspace++) {
            double nowMillis = 0;
            while (nowMillis < Scenario.LOAD_MILLIS) {
                nowMillis += -Math.log(1 - random.nextDouble()) / callsPerMilli(workspace, nowMillis);
                calls.add(nextCall(workspace, nowMillis));
            }
        }
        return calls;
    }

    private double callsPerMilli(int workspace, double nowMillis) {
        int small = Deployment.WORKSPACES - Deployment.LARGE_WORKSPACES;
        double large = (scenario.loadFactor() - small * SMALL_SHARE * Math.min(1, scenario.loadFactor()))
                / Deployment.LARGE_WORKSPACES;
        double share = isLarge(workspace) ? large : SMALL_SHARE * Math.min(1, scenario.loadFactor());
        boolean isBurst = workspace == 0 && nowMillis % BURST_PERIOD_MILLIS < BURST_MILLIS;
        double factor = isBurst ? BURST_FACTOR : 1;
        return share * factor * scenario.deployment().capacityPerSecond() / MILLIS_PER_SECOND;
    }

    private static boolean isLarge(int workspace) {
        return workspace < Deployment.LARGE_WORKSPACES;
    }

    private Call nextCall(int workspace, double nowMillis) {
        RequestShape shape = drawShape();
        int topicCount = isLarge(workspace) ? TOPICS : TOPICS / 4;
        double skewed = random.nextDouble() * random.nextDouble();
        long topic = (long) (nowMillis / DRIFT_MILLIS_PER_TOPIC) + (long) (skewed * topicCount);
        long hash = workspace * 1_000_000L + topic * FULL_PERCENT + shape.percent();
        PromptPrefix prefix = new PromptPrefix(List.of(new PromptPrefix.Block(hash, shape.prefixTokens())));
        long answerTokens = (long) (shape.answerTokens() * (0.5 + random.nextDouble()));
        return new Call(nextId++, new WorkspaceId("w" + workspace), shape, prefix, answerTokens, nowMillis);
    }

    private RequestShape drawShape() {
        int drawn = random.nextInt(FULL_PERCENT);
        for (RequestShape shape : scenario.deployment().shapes()) {
            drawn -= shape.percent();
            if (drawn < 0) {
                return shape;
            }
        }
        return scenario.deployment().shapes().get(0);
    }
}
