package org.jasminehub.bench.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.stream.Collectors;
import org.jasminehub.bench.BenchException;
import org.jasminehub.core.address.EndpointSubsetPolicy;
import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.history.HistoryReplay;
import org.jasminehub.core.history.HistoryState;
import org.jasminehub.core.history.OffsetRecord;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.TeamId;
import org.jasminehub.core.lease.LeaseAction;
import org.jasminehub.core.lease.LeaseRecord;
import org.jasminehub.core.lease.LeaseRecordCodec;
import org.jasminehub.core.lease.LeaseTable;
import org.jasminehub.core.lease.OrderGate;
import org.jasminehub.core.lease.ShardId;
import org.jasminehub.core.membership.HeartbeatRing;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberFact;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.membership.MembershipSettings;
import org.jasminehub.core.membership.MembershipView;
import org.jasminehub.wire.generated.Envelope;
import org.jasminehub.wire.generated.Hello;
import org.jasminehub.wire.generated.OrderRequest;

/** Measures the CPU time of the current thread per operation. */
final class CpuCosts {
    private static final int FAST_OPERATION_REPEATS = 200_000;
    private static final int SLOW_OPERATION_REPEATS = 40;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final ShardId SHARD = new ShardId("shard-7");
    private static final InstanceId SELF = new InstanceId("entry-instance-1");
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private CpuCosts() {}

    static List<BenchResult> measure() {
        List<BenchResult> results = new ArrayList<>();
        results.add(heartbeat());
        results.add(listRefresh());
        results.add(subsets());
        results.add(ring());
        results.add(leaseRecord());
        results.add(documentRecord());
        results.add(publishRecord());
        results.add(order());
        return results;
    }

    private static BenchResult measureCost(String label, int repeats, IntConsumer operation) {
        run(repeats, operation);
        long startNanos = THREADS.getCurrentThreadCpuTime();
        run(repeats, operation);
        long nanos = THREADS.getCurrentThreadCpuTime() - startNanos;
        return new BenchResult(label, nanos / NANOS_PER_MICRO / repeats, "microseconds");
    }

    private static void run(int repeats, IntConsumer operation) {
        for (int i = 0; i < repeats; i++) {
            operation.accept(i);
        }
    }

    private static BenchResult heartbeat() {
        MembershipView view = new MembershipView(MembershipSettings.STANDARD, event -> {});
        List<Member> entries = Fleet.entries(8);
        view.onListRead(entries, 0);
        view.watch(entries.stream().map(Member::id).collect(Collectors.toSet()), 0);
        Hello hello = MessageSizes.hello();
        return measureCost("CPU for each heartbeat (encode, decode, take)", FAST_OPERATION_REPEATS, i -> {
            Hello read = parse(Envelope.newBuilder().setHello(hello).build().toByteArray())
                    .getHello();
            InstanceId id = new InstanceId(read.getInstance());
            view.onDirectFact(new MemberFact(id, read.getIncarnation(), MemberState.LIVE), i);
        });
    }

    private static BenchResult listRefresh() {
        MembershipView view = new MembershipView(MembershipSettings.STANDARD, event -> {});
        List<Member> all = Fleet.all();
        return measureCost(
                "CPU for each refresh of a list of 8,100 (parsed)",
                SLOW_OPERATION_REPEATS,
                i -> view.onListRead(all, i));
    }

    private static BenchResult subsets() {
        EndpointSubsetPolicy policy = new EndpointSubsetPolicy(SubsetBalance.SUBSET_SIZE, SubsetBalance.FAR_ENDPOINTS);
        List<Member> agents = Fleet.agents(Fleet.AGENTS);
        return measureCost(
                "CPU for each choice of endpoints among 5,800",
                SLOW_OPERATION_REPEATS,
                i -> policy.choose(new InstanceId("entry-" + i), agents, SubsetBalance.DISTANCE));
    }

    private static BenchResult ring() {
        List<InstanceId> ids =
                Fleet.entries(Fleet.ENTRIES).stream().map(Member::id).toList();
        HeartbeatRing ring = new HeartbeatRing(8);
        return measureCost(
                "CPU for each choice of peers among 2,300",
                SLOW_OPERATION_REPEATS,
                i -> ring.watchedBy(ids.get(i), ids));
    }

    private static BenchResult leaseRecord() {
        LeaseRecordCodec codec = new LeaseRecordCodec();
        LeaseTable table = new LeaseTable(0);
        return measureCost("CPU for each lease record (decode, apply)", FAST_OPERATION_REPEATS, i -> {
            byte[] payload = codec.encode(new LeaseRecord(LeaseAction.RENEW, SHARD, SELF, 1, 1, i, i));
            codec.decode(payload).ifPresent(leaseRecord -> table.apply(table.nextOffset(), leaseRecord));
        });
    }

    private static BenchResult documentRecord() {
        DocumentYamlAdapter adapter = new DocumentYamlAdapter();
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            texts.add(SampleDocument.yaml(i));
        }
        return measureCost(
                "CPU for each document of 10 workspaces (parse)", 2_000, i -> adapter.read(texts.get(i % 100)));
    }

    private static BenchResult publishRecord() {
        HistoryRecordCodec codec = new HistoryRecordCodec();
        HistoryReplay replay = new HistoryReplay(new DocumentYamlAdapter());
        List<OffsetRecord> first = new ArrayList<>();
        for (int team = 0; team < Fleet.TEAMS; team++) {
            byte[] payload = codec.encode(SampleDocument.publish(team, HistoryState.NO_VERSION));
            first.add(new OffsetRecord(team, payload));
        }
        replay.applyLogPage(0, first);
        return measureCost("CPU for each publish (decode, replay, 730 teams)", 2_000, i -> {
            int team = i % Fleet.TEAMS;
            long base = replay.state().version(new TeamId("team-" + team));
            byte[] payload = codec.encode(SampleDocument.publish(team, base));
            replay.applyLogPage(0, List.of(new OffsetRecord(replay.nextOffset(), payload)));
        });
    }

    private static BenchResult order() {
        OrderGate gate = new OrderGate(1, event -> {});
        gate.raiseLowestValidNumber(SHARD, 0);
        OrderRequest request = MessageSizes.order();
        return measureCost("CPU for each order (encode, decode, admit)", FAST_OPERATION_REPEATS, i -> {
            Envelope envelope = parse(MessageSizes.control(request).toByteArray());
            OrderRequest read = envelope.getControlRequest().getOrder();
            gate.admit(new ShardId(read.getShard()), read.getFencingNumber(), 1);
        });
    }

    private static Envelope parse(byte[] bytes) {
        try {
            return Envelope.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new BenchException("cannot parse a message that the benchmark encoded itself", e);
        }
    }
}
