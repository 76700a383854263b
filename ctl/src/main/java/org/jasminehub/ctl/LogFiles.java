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

/** Reads logs that were collected from several processes and merges their lines in order of time. */
final class LogFiles {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private LogFiles() {}

    /**
     * Returns the events in {@code files}. Text that a log collector put before the JSON object of a line is skipped.
     *
     * @throws CtlException if a file cannot be read or contains no event of this system
     */
    static List<LogLine> read(List<String> files) {
        List<LogLine> lines = new ArrayList<>();
        for (String file : files) {
            int sizeBefore = lines.size();
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
            if (lines.size() == sizeBefore) {
                throw new CtlException(ErrorCode.ARGUMENT_INVALID, file + " holds no line of a jasminehub log");
            }
        }
        lines.sort(Comparator.comparingLong(LogLine::timeMillis).thenComparingInt(LogLine::position));
        return lines;
    }

    private static @Nullable LogLine parse(String text, int position) {
        int start = text.indexOf('{');
        if (start < 0) {
            return null;
        }
        try {
            JsonNode node = MAPPER.readTree(text.substring(start));
            boolean isEvent = node instanceof ObjectNode && node.has("event") && node.has("name");
            return isEvent ? new LogLine(node.path("time").asLong(0), position, (ObjectNode) node) : null;
        } catch (JsonProcessingException e) {
            // Other programs may write to the same file; their lines are skipped.
            return null;
        }
    }
}
