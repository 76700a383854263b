package org.jasminehub.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that names defined by the hosting platform appear only in the adapter, the platform module. */
final class PlatformBoundaryTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern PLATFORM_NAMES = Pattern.compile("\"(X-(Attempt-Id|Not-Executed|Expected-Instance"
            + "|Response-Signature|Prompt-Prefix|Token-Counts|Tenant|Instance-Id|Deadline-Milliseconds|Length-Hint)"
            + "|Server-Leaving"
            + "|keyed\\.(op|servers)|traffic_split|path_prefix|api_keys|gap_aim_ms|expert_share)\""
            + "|\"/(log-(read|append|newest|join|commit)|picked|resolution|readiness|order|report)");

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> file.toString().contains("/src/main/"))
                    .filter(file -> !file.toString().contains("/generated/"))
                    .toList();
        }
    }

    @Test
    void testPlatformNamesAppearOnlyInAdapter() throws IOException {
        List<String> found = new ArrayList<>();
        int inAdapter = 0;
        for (Path source : sources()) {
            boolean isAdapter = source.startsWith(ROOT.resolve("platform"));
            for (String line : Files.readAllLines(source)) {
                if (PLATFORM_NAMES.matcher(line).find()) {
                    inAdapter += isAdapter ? 1 : 0;
                    found.addAll(isAdapter ? List.of() : List.of(source + ": " + line.trim()));
                }
            }
        }
        assertEquals(List.of(), found);
        assertTrue(inAdapter > 20, "names in the adapter: " + inAdapter);
    }
}
