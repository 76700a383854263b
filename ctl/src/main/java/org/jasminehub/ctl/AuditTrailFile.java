package org.jasminehub.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.InvalidArgumentException;
import org.jasminehub.core.history.AuditEntry;
import org.jasminehub.core.history.AuditTrail;
import org.jasminehub.core.history.ChainHead;

/**
 * The file format of an audit trail, with one JSON object per line: the chain head before the first entry, the entries,
 * and the chain head after the last entry.
 */
final class AuditTrailFile {
    private static final int MIN_LINES = 2;

    private final ObjectMapper mapper = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    String write(AuditTrail trail) {
        List<Object> lines = new ArrayList<>();
        lines.add(trail.anchor());
        lines.addAll(trail.entries());
        lines.add(trail.head());
        StringBuilder text = new StringBuilder();
        for (Object line : lines) {
            text.append(toJson(line)).append('\n');
        }
        return text.toString();
    }

    AuditTrail read(String text) {
        List<String> lines = text.lines().toList();
        if (lines.size() < MIN_LINES) {
            throw new CtlException(ErrorCode.ARGUMENT_INVALID, "audit file truncated: expected at least two lines");
        }
        int last = lines.size() - 1;
        List<AuditEntry> entries = new ArrayList<>();
        for (int i = 1; i < last; i++) {
            entries.add(fromJson(lines.get(i), i + 1, AuditEntry.class));
        }
        ChainHead anchor = fromJson(lines.get(0), 1, ChainHead.class);
        return new AuditTrail(anchor, entries, fromJson(lines.get(last), last + 1, ChainHead.class));
    }

    private String toJson(Object line) {
        try {
            return mapper.writeValueAsString(line);
        } catch (JsonProcessingException e) {
            throw new CtlException(ErrorCode.INTERNAL, "cannot serialize an audit entry", e);
        }
    }

    private <T> T fromJson(String line, int number, Class<T> type) {
        try {
            return mapper.readValue(line, type);
        } catch (JsonProcessingException | InvalidArgumentException e) {
            throw new CtlException(
                    ErrorCode.AUDIT_MISMATCH, "line " + number + " is not a valid line of an audit file", e);
        }
    }
}
