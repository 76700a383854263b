package org.jasminehub.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import org.jasminehub.core.event.EventKind;
import org.junit.jupiter.api.Test;

final class EventCatalogueTest {
    private static final Path CATALOGUE = Path.of("..", "docs", "EVENTS.md");
    private static final Path GENERATED = Path.of("target", "EVENTS.md");

    private static List<EventKind> allKinds() {
        List<EventKind> kinds = new ArrayList<>();
        for (JavaClass type : new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("org.jasminehub")) {
            if (type.isEnum() && type.isAssignableTo(EventKind.class)) {
                for (Object constant : type.reflect().getEnumConstants()) {
                    kinds.add((EventKind) constant);
                }
            }
        }
        kinds.sort(Comparator.comparingInt(EventKind::number));
        return kinds;
    }

    private static String render(List<EventKind> kinds) {
        String rows = kinds.stream()
                .map(kind -> "| " + kind.number() + " | " + kind.name() + " | " + kind.severity() + " | "
                        + kind.meaning() + " |\n")
                .collect(Collectors.joining());
        return "# Events\n\nEvery line of the log is a JSON object; lines of the system's own hold a `record` with"
                + " `event` (the number), `name`,\n`instance` and the fields of the event. Numbers are never reused."
                + " A test keeps this page equal to the code; after a\nchange, copy `app/target/EVENTS.md` here.\n\n"
                + "A gateway's lines are that record itself, with `time` in milliseconds since 1970. Fields say their"
                + " unit. Metrics of a\ngateway are listed in `OPERATIONS.md`.\n\n"
                + "| number | name | severity | meaning |\n| --- | --- | --- | --- |\n" + rows;
    }

    @Test
    void testCatalogueListsEveryKind() throws IOException {
        String expected = render(allKinds());
        Files.createDirectories(GENERATED.getParent());
        Files.writeString(GENERATED, expected);
        assertEquals(expected, Files.readString(CATALOGUE));
    }

    @Test
    void testNumbersAreUnique() {
        List<EventKind> kinds = allKinds();
        long distinct = kinds.stream().mapToInt(EventKind::number).distinct().count();
        assertEquals(kinds.size(), distinct);
    }
}
