package org.jasminehub.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.routing.EndpointPolicy;
import org.jasminehub.core.routing.LoadReport;

/** Simulates one scenario under one endpoint policy. */
final class Simulation {
    private static final int ENTRIES_PER_WORKSPACE = 3;
    private static final int STRAGGLER = 4;

    private final Scenario scenario;
    private final EventScheduler scheduler = new EventScheduler();
    private final Histogram gapMicros = new Histogram(3);
    private final List<FakeAgent> agents = new ArrayList<>();
    private final List<FakeEntry> entries = new ArrayList<>();
    private final Random random;

    Simulation(
            Scenario scenario,
            Function<RandomGenerator, EndpointPolicy> policy,
            boolean hasAdmissionControl,
            long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int i = 0; i < Deployment.ENDPOINTS; i++) {
            agents.add(
                    new FakeAgent(scheduler, new EndpointId("text-" + i), domain(i), hasAdmissionControl, gapMicros));
        }
        for (int i = 0; i < Deployment.ENTRIES; i++) {
            entries.add(new FakeEntry(scheduler, domain(i), policy.apply(new Random(seed * 31 + i)), agents));
        }
    }

    private static FailureDomain domain(int index) {
        return new FailureDomain("domain-" + index % Deployment.DOMAINS);
    }

    Measurement run() {
        List<Call> calls = new Workload(scenario, random).generate();
        for (Call call : calls) {
            int workspace = Integer.parseInt(call.workspace.value().substring(1));
            FakeEntry entry = entries.get((workspace + random.nextInt(ENTRIES_PER_WORKSPACE)) % Deployment.ENTRIES);
            double callerMillis = scenario.deployment().callerMillis();
            scheduler.schedule(call.arrivedMillis + callerMillis, () -> entry.accept(call));
        }
        agents.forEach(agent -> scheduler.schedule(random.nextDouble() * scenario.lagMillis(), () -> report(agent)));
        double third = Scenario.LOAD_MILLIS / 3;
        FakeAgent straggler = agents.get(STRAGGLER);
        scheduler.schedule(third, () -> straggler.setSlowFactor(scenario.stragglerFactor()));
        scheduler.schedule(2 * third, () -> straggler.setSlowFactor(1));
        scheduler.runUntil(Scenario.END_MILLIS);
        return Measurement.of(scenario, calls, gapMicros);
    }

    private void report(FakeAgent agent) {
        LoadReport report = agent.report();
        long lagMillis = (long) scenario.lagMillis();
        scheduler.schedule(
                lagMillis, () -> entries.forEach(entry -> entry.tracker().recordReport(agent.id(), report, lagMillis)));
        scheduler.schedule(lagMillis, () -> report(agent));
    }
}
