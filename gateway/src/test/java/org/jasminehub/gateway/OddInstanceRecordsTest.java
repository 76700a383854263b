package org.jasminehub.gateway;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.jasminehub.gateway.control.ControlEventKind;
import org.jasminehub.wire.generated.InstanceRecord;
import org.jasminehub.wire.generated.QuarantinedParts;
import org.junit.jupiter.api.Test;

/**
 * Tests records by another writer in the log of instances. Guards against a follower that ends after one of them, and
 * against an instance that does not become ready beside one.
 */
final class OddInstanceRecordsTest extends GatewayFixture {
    private static final String INSTANCES = "keyed.jasminehub-instances";
    private static final String ODD_QUARANTINE = "quarantine/,";

    /** Returns odd records by their keys. */
    private static Map<String, InstanceRecord> oddRecords() {
        Map<String, InstanceRecord> records = new TreeMap<>();
        records.put("port-1", valid("port-1").setPeerPort(70_000).build());
        records.put("port-2", valid("port-2").setPeerPort(-1).build());
        records.put("port-3", valid("port-3").setCallerPort(70_000).build());
        records.put(
                "port-4",
                valid("port-4").setIsRankAgent(true).setPeerPort(70_000).build());
        records.put("host-1", valid("host-1").setHost("").build());
        records.put("host-2", valid("host-2").setHost("server.invalid").build());
        records.put("name-1", valid("entry-7").build());
        records.put("name-2", valid("").build());
        records.put("era-1", valid("era-1").setStoreEra(-1).build());
        records.put("cores-1", valid("cores-1").setProcessorCores(Double.NaN).build());
        return records;
    }

    private static InstanceRecord.Builder valid(String name) {
        return InstanceRecord.newBuilder()
                .setInstance(name)
                .setHost("127.0.0.9")
                .setCallerPort(1)
                .setPeerPort(1)
                .setFailureDomain("a");
    }

    private void putOddQuarantine() {
        byte[] value =
                QuarantinedParts.newBuilder().setUntilWallMillis(1).build().toByteArray();
        gateway.store().put(INSTANCES, ODD_QUARANTINE, value);
    }

    private void assertFollowedBy(GatewayHarness instance) {
        gateway.store().put(INSTANCES, "entry-9", valid("entry-9").build().toByteArray());
        instance.awaitEvent(ControlEventKind.INSTANCE_CHANGED, "entry-9");
    }

    @Test
    void testTheOthersAreFollowedAfterAnOddRecord() {
        oddRecords().forEach((key, record) -> {
            gateway.store().put(INSTANCES, key, record.toByteArray());
            gateway.awaitEvent(ControlEventKind.RECORD_REJECTED, key);
        });
        assertFollowedBy(gateway);
    }

    @Test
    void testTheOthersAreFollowedAfterAnOddQuarantine() {
        putOddQuarantine();
        gateway.awaitEvent(ControlEventKind.RECORD_REJECTED, ODD_QUARANTINE);
        assertFollowedBy(gateway);
    }

    @Test
    void testAnInstanceThatStartsLaterReadsTheOthers() throws IOException {
        serveWithOneEndpoint();
        oddRecords().forEach((key, record) -> gateway.store().put(INSTANCES, key, record.toByteArray()));
        putOddQuarantine();

        try (GatewayHarness later = gateway.startPeer("entry-2")) {
            GatewayHarness.await(() -> later.entry().acceptingNames().contains("entry-2"));
            assertFollowedBy(later);
        }
    }
}
