package org.jasminehub.core.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.jasminehub.core.error.InvalidArgumentException;

/**
 * Encodes and decodes records as JSON objects with a {@code type} field.
 *
 * <pre>{@code
 * byte[] payload = codec.encode(publish);
 * DecodedRecord decoded = codec.decode(payload);
 * }</pre>
 *
 * <p>Unknown fields are ignored, so that older versions can read newer records. Thread-safe.
 */
public final class HistoryRecordCodec {
    /** The {@code type} of a {@link PublishRecord}. */
    public static final String PUBLISH_TYPE = "publish";

    /** The {@code type} of a {@link SnapshotRecord}. */
    public static final String SNAPSHOT_TYPE = "snapshot";

    private static final String TYPE_FIELD = "type";

    private final ObjectMapper mapper = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    /** Returns {@code record} as UTF-8 encoded JSON. */
    public byte[] encode(HistoryRecord record) {
        ObjectNode node = mapper.createObjectNode();
        node.put(TYPE_FIELD, record instanceof PublishRecord ? PUBLISH_TYPE : SNAPSHOT_TYPE);
        ObjectNode fields = mapper.valueToTree(record);
        node.setAll(fields);
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes {@code payload}; returns {@link DecodedRecord.Unreadable} if it is invalid. */
    public DecodedRecord decode(byte[] payload) {
        try {
            return decodeTree(mapper.readTree(new String(payload, StandardCharsets.UTF_8)));
        } catch (JsonProcessingException | InvalidArgumentException e) {
            return new DecodedRecord.Unreadable(causeOf(e));
        }
    }

    private DecodedRecord decodeTree(JsonNode node) throws JsonProcessingException {
        String type = node.path(TYPE_FIELD).asText();
        if (type.isEmpty()) {
            return new DecodedRecord.Unreadable("the record has no type field");
        }
        return switch (type) {
            case PUBLISH_TYPE -> new DecodedRecord.Readable(mapper.treeToValue(node, PublishRecord.class));
            case SNAPSHOT_TYPE -> new DecodedRecord.Readable(mapper.treeToValue(node, SnapshotRecord.class));
            default -> new DecodedRecord.OtherType(type);
        };
    }

    private static String causeOf(Exception failure) {
        if (failure instanceof JsonProcessingException json) {
            return json.getOriginalMessage().lines().findFirst().orElse("not valid JSON");
        }
        return String.valueOf(failure.getMessage());
    }
}
