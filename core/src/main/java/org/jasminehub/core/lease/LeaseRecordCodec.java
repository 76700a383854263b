package org.jasminehub.core.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jasminehub.core.error.InvalidArgumentException;
import org.jasminehub.core.identity.InstanceId;

/**
 * Encodes and decodes lease records as JSON objects of type {@value #TYPE}.
 *
 * <pre>{@code
 * byte[] payload = codec.encode(leaseRecord);
 * Optional<LeaseRecord> read = codec.decode(payload);
 * }</pre>
 *
 * <p>Unknown fields are ignored. Thread-safe.
 */
public final class LeaseRecordCodec {
    /** The {@code type} of a lease record. */
    public static final String TYPE = "lease";

    private static final String TYPE_FIELD = "type";

    private final ObjectMapper mapper = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .build();

    /** Returns the encoded form of {@code leaseRecord}. */
    public byte[] encode(LeaseRecord leaseRecord) {
        Fields fields = Fields.of(leaseRecord);
        ObjectNode node = mapper.createObjectNode();
        node.put(TYPE_FIELD, TYPE);
        node.setAll(mapper.<ObjectNode>valueToTree(fields));
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the lease record in {@code payload}, or empty if the payload is not a valid lease record. */
    public Optional<LeaseRecord> decode(byte[] payload) {
        String text = new String(payload, StandardCharsets.UTF_8);
        // Most log records are documents; this check rejects them without parsing.
        if (!text.contains("\"" + TYPE + "\"")) {
            return Optional.empty();
        }
        try {
            JsonNode node = mapper.readTree(text);
            boolean isLease = TYPE.equals(node.path(TYPE_FIELD).asText());
            return isLease ? Optional.of(mapper.treeToValue(node, Fields.class).toRecord()) : Optional.empty();
        } catch (JsonProcessingException | InvalidArgumentException e) {
            return Optional.empty();
        }
    }

    private record Fields(
            LeaseAction action,
            String shard,
            String holder,
            long incarnation,
            long fencingNumber,
            long readToOffset,
            long nonce) {
        static Fields of(LeaseRecord from) {
            return new Fields(
                    from.action(),
                    from.shard().value(),
                    from.holder().value(),
                    from.incarnation(),
                    from.fencingNumber(),
                    from.readToOffset(),
                    from.nonce());
        }

        LeaseRecord toRecord() {
            return new LeaseRecord(
                    action,
                    new ShardId(shard),
                    new InstanceId(holder),
                    incarnation,
                    fencingNumber,
                    readToOffset,
                    nonce);
        }
    }
}
