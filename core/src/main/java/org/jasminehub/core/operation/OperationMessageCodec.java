package org.jasminehub.core.operation;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;
import org.jasminehub.core.error.InvalidArgumentException;

/** Converts operation messages, tickets and log records to and from JSON. Thread-safe. */
public final class OperationMessageCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private OperationMessageCodec() {}

    /** Returns {@code message} as JSON. */
    public static String write(OperationMessage message) {
        return writeValue(message);
    }

    /** Parses a message; returns empty if {@code text} is not a valid message. */
    public static Optional<OperationMessage> read(String text) {
        return readValue(text, OperationMessage.class);
    }

    /** Returns {@code ticket} as JSON. */
    public static String writeTicket(OperationTicket ticket) {
        return writeValue(ticket);
    }

    /** Parses a ticket; returns empty if {@code text} is not a valid ticket. */
    public static Optional<OperationTicket> readTicket(String text) {
        return readValue(text, OperationTicket.class);
    }

    /** Returns {@code logRecord} as JSON. */
    public static String writeRecord(HomeLogRecord logRecord) {
        return writeValue(logRecord);
    }

    /** Parses a log record; returns empty if it does not concern home tables. */
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
