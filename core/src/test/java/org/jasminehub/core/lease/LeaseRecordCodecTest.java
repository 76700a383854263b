package org.jasminehub.core.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jasminehub.core.identity.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class LeaseRecordCodecTest {
    private final LeaseRecordCodec codec = new LeaseRecordCodec();

    @Test
    void testDecodedRecordEqualsEncodedRecord() {
        LeaseRecord written =
                new LeaseRecord(LeaseAction.RENEW, new ShardId("shard-3"), new InstanceId("entry-7"), 4, 900, 950, -17);
        assertEquals(Optional.of(written), codec.decode(codec.encode(written)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "no JSON \"lease\"",
                "{\"type\":\"publish\",\"team\":\"lease\"}",
                "{\"type\":\"lease\"}",
                "{\"type\":\"lease\",\"action\":\"CLAIM\",\"shard\":\"\",\"holder\":\"entry-1\",\"incarnation\":1,"
                        + "\"fencingNumber\":0,\"readToOffset\":0,\"nonce\":1}",
                "{\"type\":\"lease\",\"action\":\"CLAIM\",\"shard\":\"s\",\"holder\":\"entry-1\",\"incarnation\":-1,"
                        + "\"fencingNumber\":0,\"readToOffset\":0,\"nonce\":1}"
            })
    void testPayloadThatIsNoValidLeaseRecordIsIgnored(String payload) {
        assertEquals(Optional.empty(), codec.decode(payload.getBytes(StandardCharsets.UTF_8)));
    }
}
