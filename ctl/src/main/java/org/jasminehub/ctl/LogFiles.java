package org.jasminehub.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.jasminehub.core.error.ErrorCode;
import org.jspecify.annotations.Nullable;

/** Reads logs that were collected from several processes, and puts their lines in order of time. */
final class LogFiles {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private LogFiles() {}

    /**
     * Returns the lines of {@code files}. What a collector puts before a line's JSON object is skipped.
     *
     * @throws CtlException if a file cannot be read or holds no line of this system's log
     */
    static List<LogLine> read(List<String> files) {
        List<LogLine> lines = new ArrayList<>();
        for (String file : files) {
            int before = lines.size();
            try {
                for (String text : Files.readAllLines(Path.of(file))) {
                    LogLine line = parse(text, lines.size());
                    if (line != null) {
                        lines.add(line);
                    }
                }
            } catch (IOException e) {
                throw new CtlException(ErrorCode.ARGUMENT_INVALID, file + " cannot be read: " + e.getMessage());
            }
            if (lines.size() == before) {
                throw new CtlException(ErrorCode.ARGUMENT_INVALID, file + " holds no line of a jasminehub log");
            }
        }
        lines.sort(Comparator.comparingLong(LogLine::timeMillis).thenComparingInt(LogLine::order));
        return lines;
    }

    private static @Nullable LogLine parse(String text, int order) {
        int start = text.indexOf('{');
        if (start < 0) {
            return null;
        }
        try {
            JsonNode node = MAPPER.readTree(text.substring(start));
            boolean isEvent = node instanceof ObjectNode && node.has("event") && node.has("name");
            return isEvent ? new LogLine(node.path("time").asLong(0), order, (ObjectNode) node) : null;
        } catch (JsonProcessingException e) {
            // Other programs may write to the same file; their lines are not this log's.
            return null;
        }
    }
}
