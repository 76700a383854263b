package org.jasminehub.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class ExampleFilesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    static List<Path> examples() throws IOException {
        try (Stream<Path> files = Files.walk(EXAMPLES)) {
            return files.filter(file -> file.toString().endsWith(".yaml"))
                    .sorted()
                    .toList();
        }
    }

    @ParameterizedTest
    @MethodSource("examples")
    void testExamplePassesTheCheckCommand(Path file) {
        String name = file.getFileName().toString();
        String option = name.startsWith("entry") ? "--entry" : name.startsWith("agent") ? "--agent" : "--document";
        PrintStream discard = new PrintStream(PrintStream.nullOutputStream());
        assertEquals(0, new Main(discard, System.err).run("check", option, file.toString()));
    }

    @Test
    void testBothDeploymentsHaveExamples() throws IOException {
        assertFalse(examples().stream().noneMatch(file -> file.toString().contains("sul")));
        assertFalse(examples().stream().noneMatch(file -> file.toString().contains("batinah")));
    }
}
