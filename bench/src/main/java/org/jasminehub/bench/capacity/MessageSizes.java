package org.jasminehub.bench.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.MessageLite;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jasminehub.bench.BenchException;
import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.lease.LeaseAction;
import org.jasminehub.core.lease.LeaseRecord;
import org.jasminehub.core.lease.LeaseRecordCodec;
import org.jasminehub.core.lease.ShardId;
import org.jasminehub.platform.list.MemberJson;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Envelope;
import org.jasminehub.wire.generated.Hello;
import org.jasminehub.wire.generated.MemberReport;
import org.jasminehub.wire.generated.OrderKind;
import org.jasminehub.wire.generated.OrderRequest;
import org.jasminehub.wire.generated.VersionInForce;

/** Measures the encoded size of messages and records, without the 4-byte frame length and the TCP and IP headers. */
final class MessageSizes {
    private static final long INCARNATION = 1_700_000_000_000L;
    private static final long OFFSET = 40_000_000;

    private MessageSizes() {}

    static List<BenchResult> measure() {
        Envelope greeting = Envelope.newBuilder().setHello(hello()).build();
        Envelope load = Envelope.newBuilder().setEndpointLoad(load()).build();
        VersionInForce version = VersionInForce.newBuilder()
                .setTeam("team-730")
                .setVersion(OFFSET)
                .build();
        return List.of(
                size("bytes of a greeting or heartbeat (Hello)", greeting),
                size("bytes of a load report (EndpointLoad)", load),
                size("bytes of an order (OrderRequest)", control(order())),
                size("bytes of a team's version in a status", version),
                size("bytes of the news of one member (MemberReport)", report()),
                new BenchResult("bytes of a member in the list's JSON", listedMemberBytes(), "bytes"),
                new BenchResult(
                        "bytes of a publish record of 10 workspaces",
                        new HistoryRecordCodec().encode(SampleDocument.publish(730, OFFSET)).length,
                        "bytes"),
                new BenchResult("bytes of a lease record", leaseRecord().length, "bytes"),
                new BenchResult(
                        "bytes of a document of 10 workspaces (text)",
                        SampleDocument.yaml(730).getBytes(StandardCharsets.UTF_8).length,
                        "bytes"));
    }

    static Hello hello() {
        return Hello.newBuilder()
                .setProtocolVersion(1)
                .setInstance("entry-instance-1")
                .setIncarnation(INCARNATION)
                .setFailureDomain("failure-domain-1")
                .build();
    }

    static OrderRequest order() {
        return OrderRequest.newBuilder()
                .setShard("shard-7")
                .setFencingNumber(OFFSET)
                .setIncarnation(INCARNATION)
                .setGroup("group-711")
                .setMapVersion(OFFSET)
                .setStep(90_000_000)
                .setKind(OrderKind.ARM)
                .build();
    }

    static Envelope control(OrderRequest order) {
        ControlRequest request = ControlRequest.newBuilder()
                .setCorrelationId(4_711)
                .setOrder(order)
                .build();
        return Envelope.newBuilder().setControlRequest(request).build();
    }

    private static EndpointLoad load() {
        return EndpointLoad.newBuilder()
                .setQueuedTokens(9_000)
                .setRunningRequests(40)
                .setCapacityRequests(64)
                .setStepMillis(28.5)
                .setPrefillTokensPerSecond(9_000)
                .setAccepting(true)
                .setAgeMillis(350)
                .build();
    }

    private static MemberReport report() {
        return MemberReport.newBuilder()
                .setInstance("agent-instance-5799")
                .setIncarnation(INCARNATION)
                .setLeaving(true)
                .build();
    }

    private static double listedMemberBytes() {
        try {
            List<MemberJson> members = Fleet.all().stream().map(MemberJson::of).toList();
            return new ObjectMapper().writeValueAsBytes(members).length / (double) members.size();
        } catch (JsonProcessingException e) {
            throw new BenchException("cannot encode the member list as JSON", e);
        }
    }

    private static byte[] leaseRecord() {
        return new LeaseRecordCodec()
                .encode(new LeaseRecord(
                        LeaseAction.RENEW,
                        new ShardId("shard-7"),
                        new InstanceId("entry-instance-1"),
                        INCARNATION,
                        OFFSET,
                        OFFSET + 100,
                        Long.MAX_VALUE));
    }

    private static BenchResult size(String label, MessageLite message) {
        return new BenchResult(label, message.getSerializedSize(), "bytes");
    }
}
