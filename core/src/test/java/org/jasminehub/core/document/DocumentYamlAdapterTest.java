package org.jasminehub.core.document;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jasminehub.core.error.DocumentException;
import org.jasminehub.core.membership.Target;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class DocumentYamlAdapterTest {
    private static final String VALID = "schemaVersion: 1\nteam: drafts\nworkspaces:\n"
            + "  - {name: agency, weight: 1, requestsPerSecond: 1, tokensPerSecond: 1, concurrentRequests: 1}\n"
            + "routes: []\nexperts: {skewWeight: 1, moveWeight: 1}\n";

    private final DocumentYamlAdapter adapter = new DocumentYamlAdapter();

    private static String example(String name) throws IOException {
        return Files.readString(Path.of("..", "examples", "documents", name));
    }

    private DocumentException failureOf(String text) {
        return assertThrows(DocumentException.class, () -> adapter.read(text));
    }

    @Nested
    final class Examples {
        @Test
        void testPampaCriativaDocumentRoutesItsRequests() throws IOException {
            TeamDocument document = adapter.read(example("pampa-criativa.yaml"));
            assertEquals(10, document.workspaces().size());
            assertEquals(
                    "caption-drafts",
                    document.route(Target.model("campaign-text"), "POST", "/v1/chat/completions")
                            .orElseThrow()
                            .name());
            assertEquals(
                    RouteKind.NON_IDEMPOTENT,
                    document.route(Target.service("payments"), "POST", "/payments")
                            .orElseThrow()
                            .kind());
            assertEquals(
                    RouteKind.FRESH_READ,
                    document.route(Target.service("metrics"), "GET", "/reach/today")
                            .orElseThrow()
                            .kind());
        }

        @Test
        void testKhorRawdahDocumentRoutesItsRequests() throws IOException {
            TeamDocument document = adapter.read(example("khor-rawdah.yaml"));
            assertEquals(10, document.workspaces().size());
            Target bookings = Target.service("bookings");
            assertEquals(
                    RouteKind.NON_IDEMPOTENT,
                    document.route(bookings, "POST", "/trips").orElseThrow().kind());
            assertEquals(
                    RouteKind.FRESH_READ,
                    document.route(bookings, "GET", "/trips").orElseThrow().kind());
        }
    }

    @Nested
    final class Rejects {
        @Test
        void testTextThatExceedsTheSizeLimit() {
            String comment = "# ".repeat(DocumentYamlAdapter.MAX_CHARACTERS);
            assertEquals("(root)", failureOf(VALID + comment).path());
        }

        @Test
        void testUnknownKeyIsReportedWithItsPath() {
            assertTrue(failureOf(VALID.replace("weight: 1,", "weight: 1, wieght: 1,"))
                    .path()
                    .contains("workspaces[0].wieght"));
        }

        @Test
        void testDuplicateWorkspace() {
            String line = VALID.lines().toList().get(3) + "\n";
            assertTrue(failureOf(VALID.replace(line, line + line)).getMessage().contains("agency"));
        }

        @Test
        void testValueOutOfRangeIsReported() {
            assertTrue(failureOf(VALID.replace("weight: 1,", "weight: 0,"))
                    .getMessage()
                    .contains("above 0"));
        }

        @Test
        void testEmptyListElement() {
            failureOf(VALID.replace("routes: []", "routes: [null]"));
        }

        @Test
        void testWeightThatIsNotANumber() {
            failureOf(VALID.replace("skewWeight: 1", "skewWeight: .nan"));
        }

        @Test
        void testDeepNesting() {
            failureOf(VALID.replace("routes: []", "routes: " + "[".repeat(5_000) + "]".repeat(5_000)));
        }

        @Test
        void testExponentialAliasExpansion() {
            StringBuilder text = new StringBuilder("a0: &a0 [x, x]\n");
            for (int i = 1; i < 40; i++) {
                text.append("a")
                        .append(i)
                        .append(": &a")
                        .append(i)
                        .append(" [*a")
                        .append(i - 1);
                text.append(", *a").append(i - 1).append("]\n");
            }
            failureOf(text + VALID);
        }
    }

    @Property(seed = "46", tries = 300)
    void testCorruptedDocumentIsReadOrRejectedWithADocumentException(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder(VALID);
        for (int i = 0; i < 4; i++) {
            char[] characters = {(char) random.nextInt(256), '{', '[', ':', '&', '*', '"', '\n', '\t', '!', '|'};
            text.setCharAt(random.nextInt(text.length()), characters[random.nextInt(characters.length)]);
        }
        assertDoesNotThrow(() -> {
            try {
                adapter.read(text.toString());
            } catch (DocumentException e) {
                assertTrue(e.path().length() > 0);
            }
        });
    }
}
