package org.jasminehub.runtime.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.util.logging.Level;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.event.Severity;

/**
 * Writes each event to the log as one line with a JSON object. Its fields are {@code event} (the event's number),
 * {@code name}, {@code instance} (the instance that wrote the line) and the fields of the event itself.
 *
 * <pre>{@code
 * EventSink events = new EventLog("entry-1");
 * events.emit(new EndpointChosen(...));
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class EventLog implements EventSink {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ObjectMapper mapper = new ObjectMapper();
    private final String instance;

    /** Creates a log whose lines state {@code instance} as their origin. */
    public EventLog(String instance) {
        this.instance = instance;
    }

    @Override
    public void emit(Event event) {
        Level level = levelOf(event.kind().severity());
        logger.at(level).log("%s", new Line(event));
    }

    /** Writes an event that occurred at {@code wallMillis}; the field {@code time} of the line contains that time. */
    public void emitAt(Event event, long wallMillis) {
        logger.at(levelOf(event.kind().severity())).log("%s", new Line(event, wallMillis));
    }

    private static Level levelOf(Severity severity) {
        return switch (severity) {
            case DETAIL -> Level.FINE;
            case INFO -> Level.INFO;
            case WARNING -> Level.WARNING;
            case ERROR -> Level.SEVERE;
        };
    }

    /** Converts an event to JSON in {@code toString}, which the logger calls only if the event's level is enabled. */
    private final class Line {
        private static final long NO_TIME = -1;

        private final Event event;
        private final long wallMillis;

        Line(Event event) {
            this(event, NO_TIME);
        }

        Line(Event event, long wallMillis) {
            this.event = event;
            this.wallMillis = wallMillis;
        }

        @Override
        public String toString() {
            EventKind kind = event.kind();
            ObjectNode line = mapper.createObjectNode();
            if (wallMillis != NO_TIME) {
                line.put("time", wallMillis);
            }
            line.put("event", kind.number());
            line.put("name", kind.name());
            line.put("instance", instance);
            ObjectNode fields = mapper.valueToTree(event);
            line.setAll(fields);
            line.remove("kind");
            try {
                return mapper.writeValueAsString(line);
            } catch (JsonProcessingException e) {
                return "{\"event\":" + kind.number() + ",\"name\":\"" + kind.name() + "\"}";
            }
        }
    }
}
