package org.jasminehub.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.lease.LeaseAction;
import org.jasminehub.core.lease.LeaseManager;
import org.jasminehub.core.lease.LeaseRecord;
import org.jasminehub.core.lease.LeaseTimings;
import org.jasminehub.core.lease.ShardId;
import org.jasminehub.core.lease.ShardPolicy;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberFacts;
import org.jasminehub.core.membership.MembershipSettings;
import org.jasminehub.core.membership.MembershipView;
import org.jasminehub.core.routing.LoadReport;

/** Heap for each item of state: the difference between much and little of it, by the difference in number. */
final class MemorySlopes {
    private static final int COLLECTIONS = 4;
    private static final int FEW = 1_000;
    private static final int MANY = 9_000;

    private MemorySlopes() {}

    static List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>();
        slopes.add(slope("heap for each listed member", MemorySlopes::listed));
        slopes.add(slope("heap for each fact of a member", MemorySlopes::facts));
        slopes.add(slope("heap for each peer or endpoint watched (contact)", MemorySlopes::watched));
        slopes.add(slope("heap for each endpoint watched (load report)", MemorySlopes::loads));
        slopes.add(slope("heap for each document of 10 workspaces (parsed)", MemorySlopes::documents));
        slopes.add(slope("heap for each document of 10 workspaces (text)", MemorySlopes::texts));
        slopes.add(slope("heap for each lease shard", MemorySlopes::leases));
        return slopes;
    }

    private static Slope slope(String what, IntFunction<Object> build) {
        // The first builds load classes and fill caches that a slope must not count.
        heapOf(build, FEW);
        double bytes = (heapOf(build, MANY) - heapOf(build, FEW)) / (double) (MANY - FEW);
        return new Slope(what, bytes, "bytes");
    }

    private static long heapOf(IntFunction<Object> build, int count) {
        long before = usedBytes();
        Object state = build.apply(count);
        try {
            return usedBytes() - before;
        } finally {
            Reference.reachabilityFence(state);
        }
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static Object listed(int count) {
        MembershipView view = new MembershipView(MembershipSettings.STANDARD, event -> {});
        view.onListRead(Fleet.agents(count), 0);
        return view;
    }

    private static Object facts(int count) {
        MemberFacts facts = new MemberFacts();
        Fleet.agents(count).forEach(member -> facts.merge(Fleet.fact(member)));
        return facts;
    }

    private static Object watched(int count) {
        MembershipView view = new MembershipView(MembershipSettings.STANDARD, event -> {});
        view.watch(Fleet.agents(count).stream().map(Member::id).collect(Collectors.toSet()), 0);
        return view;
    }

    private static Object loads(int count) {
        Map<EndpointId, LoadReport> loads = new HashMap<>();
        for (int i = 0; i < count; i++) {
            loads.put(new EndpointId("endpoint-" + i), new LoadReport(i, 3, 64, 28.5, 9_000, true));
        }
        return loads;
    }

    private static Object documents(int count) {
        DocumentYamlAdapter adapter = new DocumentYamlAdapter();
        List<Object> documents = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            documents.add(adapter.read(SampleDocument.yaml(i)));
        }
        return documents;
    }

    private static Object texts(int count) {
        List<Object> texts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            texts.add(SampleDocument.yaml(i));
        }
        return texts;
    }

    private static Object leases(int count) {
        List<ShardId> shards = new ShardPolicy(count).shards();
        InstanceId self = new InstanceId("entry-instance-1");
        LeaseManager manager = new LeaseManager(self, 1, shards, LeaseTimings.STANDARD, () -> 1, 0, event -> {}, 0);
        for (int i = 0; i < count; i++) {
            manager.onRecordRead(i, new LeaseRecord(LeaseAction.CLAIM, shards.get(i), self, 1, 0, i, i), 0);
        }
        return manager;
    }
}
