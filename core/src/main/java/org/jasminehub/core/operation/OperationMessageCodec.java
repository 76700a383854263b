package org.jasminehub.core.operation;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;
import org.jasminehub.core.error.InvalidArgumentException;

/** Writes and reads operation messages and tickets as JSON text. Safe for use by several threads. */
public final class OperationMessageCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private OperationMessageCodec() {}

    /** Returns {@code message} as text. */
    public static String write(OperationMessage message) {
        return writeValue(message);
    }

    /** Returns the message that {@code text} holds, or nothing where it holds none. */
    public static Optional<OperationMessage> read(String text) {
        return readValue(text, OperationMessage.class);
    }

    /** Returns {@code ticket} as text. */
    public static String writeTicket(OperationTicket ticket) {
        return writeValue(ticket);
    }

    /** Returns the ticket that {@code text} holds, or nothing where it holds none. */
    public static Optional<OperationTicket> readTicket(String text) {
        return readValue(text, OperationTicket.class);
    }

    /** Returns {@code logRecord} as text. */
    public static String writeRecord(HomeLogRecord logRecord) {
        return writeValue(logRecord);
    }

    /** Returns the record that {@code text} holds, or nothing where the log's record is another part's. */
    public static Optional<HomeLogRecord> readRecord(String text) {
        return readValue(text, HomeLogRecord.class).filter(HomeLogRecord::isValid);
    }

    private static String writeValue(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new InvalidArgumentException("message", value, "a value that JSON can hold");
        }
    }

    private static <T> Optional<T> readValue(String text, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(text, type));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
