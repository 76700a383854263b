package org.jasminehub.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.jasminehub.core.error.ErrorCode;

/** Shows the events of one request, or counts the outcomes of all calls, from collected logs. */
final class ExplainCommand {
    /** State changes are shown from this time before the first event of the request. */
    private static final long CONTEXT_MILLIS = 5_000;

    private static final long MILLIS_PER_MINUTE = 60_000;

    private static final List<String> CONTEXT_EVENTS = List.of(
            "STORE_LOST",
            "STORE_REGAINED",
            "READINESS_CHANGED",
            "CONFIGURATION_APPLIED",
            "SUSPENSION_NOTICED",
            "ENDPOINT_LEAVING",
            "ENDPOINT_QUIET",
            "ENDPOINT_LIMITED",
            "EVACUATION_REQUESTED",
            "EVACUATION_ENDED",
            "PROCESS_STARTED",
            "PROCESS_STOPPING");

    private static final List<String> OMITTED_FIELDS = List.of("event", "name", "instance", "time", "requestId");

    private final PrintStream out;

    ExplainCommand(PrintStream out) {
        this.out = out;
    }

    /** Prints the events of a request, and the state changes of the instances that handled it, in order of time. */
    void explain(CommandOptions.Explain options) {
        List<LogLine> lines = LogFiles.read(options.files);
        List<LogLine> requestLines = lines.stream()
                .filter(line -> line.text("requestId").equals(options.request))
                .toList();
        if (requestLines.isEmpty()) {
            throw new CtlException(
                    ErrorCode.ARGUMENT_INVALID, "no line of these logs names request " + options.request);
        }
        long firstMillis = requestLines.get(0).timeMillis();
        List<String> instances =
                requestLines.stream().map(LogLine::instance).distinct().toList();
        for (LogLine line : lines) {
            boolean isContext = CONTEXT_EVENTS.contains(line.name())
                    && instances.contains(line.instance())
                    && line.timeMillis()
                            <= requestLines.get(requestLines.size() - 1).timeMillis()
                    && line.timeMillis() >= firstMillis - CONTEXT_MILLIS;
            if (isContext || requestLines.contains(line)) {
                print(line, firstMillis);
            }
        }
    }

    private void print(LogLine line, long firstMillis) {
        String fields = StreamSupport.stream(
                        ((Iterable<Map.Entry<String, JsonNode>>)
                                        () -> line.fields().fields())
                                .spliterator(),
                        false)
                .filter(field -> !OMITTED_FIELDS.contains(field.getKey()))
                .map(field -> field.getKey() + "=" + field.getValue().asText())
                .collect(Collectors.joining(" "));
        out.printf("%+7d ms  %-16s %-24s %s%n", line.timeMillis() - firstMillis, line.instance(), line.name(), fields);
    }

    /** Counts how calls ended, by code, instance and minute. */
    void summarize(CommandOptions.Summary options) {
        Map<String, Integer> byCode = new TreeMap<>();
        Map<String, Integer> byInstance = new TreeMap<>();
        Map<String, Integer> byMinute = new TreeMap<>();
        List<LogLine> lines = LogFiles.read(options.files);
        long startMillis = lines.get(0).timeMillis();
        for (LogLine line : lines) {
            if (!line.fields().has("totalMillis")) {
                continue;
            }
            String outcome = line.name() + (line.text("code").isEmpty() ? "" : " " + line.text("code"));
            byCode.merge(outcome, 1, Integer::sum);
            byInstance.merge(line.instance() + "  " + outcome, 1, Integer::sum);
            long minute = (line.timeMillis() - startMillis) / MILLIS_PER_MINUTE;
            byMinute.merge("minute " + minute + "  " + outcome, 1, Integer::sum);
        }
        byCode.forEach(this::printCount);
        byInstance.forEach(this::printCount);
        byMinute.forEach(this::printCount);
    }

    private void printCount(String label, int count) {
        out.printf("%7d  %s%n", count, label);
    }
}
