package org.jasminehub.bench.capacity;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.nio.charset.StandardCharsets;
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
import org.jasminehub.platform.hosted.CallHeadersAdapter;

/**
 * Measures the heap per item of state.
 *
 * <p>Builds the state with a small and a large number of items and divides the difference in heap by the difference in
 * number, so that fixed costs cancel out.
 */
final class HeapCosts {
    private static final int GC_RUNS = 4;
    private static final int SMALL_COUNT = 1_000;
    private static final int LARGE_COUNT = 9_000;

    private HeapCosts() {}

    static List<BenchResult> measure() {
        List<BenchResult> results = new ArrayList<>();
        results.add(measureCost("heap for each listed member", HeapCosts::listedMembers));
        results.add(measureCost("heap for each fact of a member", HeapCosts::memberFacts));
        results.add(measureCost("heap for each peer or endpoint watched (contact)", HeapCosts::watchedMembers));
        results.add(measureCost("heap for each endpoint watched (load report)", HeapCosts::loadReports));
        results.add(measureCost("heap for each document of 10 workspaces (parsed)", HeapCosts::documents));
        results.add(measureCost("heap for each document of 10 workspaces (text)", HeapCosts::documentTexts));
        results.add(measureCost("heap for each lease shard", HeapCosts::leaseShards));
        results.add(measureCost("heap for each field of a request's head (5 bytes sent)", HeapCosts::requestFields));
        return results;
    }

    private static BenchResult measureCost(String label, IntFunction<Object> stateFactory) {
        // The first build loads classes and fills caches, which must not count as heap of the items.
        heapOf(stateFactory, SMALL_COUNT);
        double bytes = (heapOf(stateFactory, LARGE_COUNT) - heapOf(stateFactory, SMALL_COUNT))
                / (double) (LARGE_COUNT - SMALL_COUNT);
        return new BenchResult(label, bytes, "bytes");
    }

    private static long heapOf(IntFunction<Object> stateFactory, int count) {
        long before = usedBytes();
        Object state = stateFactory.apply(count);
        try {
            return usedBytes() - before;
        } finally {
            Reference.reachabilityFence(state);
        }
    }

    private static long usedBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static Object listedMembers(int count) {
        MembershipView view = new MembershipView(MembershipSettings.STANDARD, event -> {});
        view.onListRead(Fleet.agents(count), 0);
        return view;
    }

    private static Object memberFacts(int count) {
        MemberFacts memberFacts = new MemberFacts();
        Fleet.agents(count).forEach(member -> memberFacts.merge(Fleet.fact(member)));
        return memberFacts;
    }

    private static Object watchedMembers(int count) {
        MembershipView view = new MembershipView(MembershipSettings.STANDARD, event -> {});
        view.watch(Fleet.agents(count).stream().map(Member::id).collect(Collectors.toSet()), 0);
        return view;
    }

    private static Object loadReports(int count) {
        Map<EndpointId, LoadReport> loadReports = new HashMap<>();
        for (int i = 0; i < count; i++) {
            loadReports.put(new EndpointId("endpoint-" + i), new LoadReport(i, 3, 64, 28.5, 9_000, true));
        }
        return loadReports;
    }

    private static Object documents(int count) {
        DocumentYamlAdapter adapter = new DocumentYamlAdapter();
        List<Object> documents = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            documents.add(adapter.read(SampleDocument.yaml(i)));
        }
        return documents;
    }

    private static Object documentTexts(int count) {
        List<Object> documentTexts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            documentTexts.add(SampleDocument.yaml(i));
        }
        return documentTexts;
    }

    private static Object leaseShards(int count) {
        List<ShardId> shards = new ShardPolicy(count).shards();
        InstanceId self = new InstanceId("entry-instance-1");
        LeaseManager manager = new LeaseManager(self, 1, shards, LeaseTimings.STANDARD, () -> 1, 0, event -> {}, 0);
        for (int i = 0; i < count; i++) {
            manager.onRecordRead(i, new LeaseRecord(LeaseAction.CLAIM, shards.get(i), self, 1, 0, i, i), 0);
        }
        return manager;
    }

    /** Returns the head of a request with {@code count} fields as an entry instance holds it while an endpoint works. */
    private static Object requestFields(int count) {
        String text = "GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(count) + "\r\n";
        HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(text.length());
        EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestDecoder(config));
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        HttpRequest request = channel.readInbound();
        HttpHeaders sent = CallHeadersAdapter.forEndpoint(request.headers(), 1, null, "endpoint-1", null);
        return List.of(request, sent);
    }
}
