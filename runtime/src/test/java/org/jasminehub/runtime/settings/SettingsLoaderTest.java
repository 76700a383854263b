package org.jasminehub.runtime.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.yaml.StrictYamlReader;
import org.jasminehub.core.yaml.YamlException;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that settings mean the same whether they are read with the YAML library or without it. */
final class SettingsLoaderTest {
    /** A section of settings. */
    public record Section(int count, double share) {
        /** Rejects negative counts. */
        public Section {
            Checks.notNegative("count", count);
        }
    }

    /** Settings with a value of each type that occurs. */
    public record Sample(String name, int port, double ratio, List<String> seeds, Section section) {}

    private static final String VALID = """
            # Settings.
            name: "a b"
            port: 8080
            ratio: 0.25
            seeds: ["x:1", "y:2"]

            section:
              count: 3
              share: 2
            """;

    private static @Nullable Sample yaml(String text) {
        try {
            return new StrictYamlReader().read(text, Sample.class);
        } catch (YamlException e) {
            return null;
        }
    }

    /** Files that need no YAML library. */
    @Nested
    final class PlainFiles {
        /** Guards against a start that loads the YAML library although the deployment's file does not need it. */
        @Test
        void testPlainFileIsReadWithoutTheYamlReader() {
            Sample expected = new Sample("a b", 8080, 0.25, List.of("x:1", "y:2"), new Section(3, 2));

            assertEquals(expected, PlainSettingsReader.read(VALID, Sample.class));
            assertEquals(expected, yaml(VALID));
        }

        @Test
        void testListsMayBeEmptyOrWithoutSpaces() {
            for (String list : List.of("[]", "[\"x:1\",\"y:2\"]")) {
                String text = VALID.replace("[\"x:1\", \"y:2\"]", list);

                assertNotNull(PlainSettingsReader.read(text, Sample.class), list);
                assertEquals(yaml(text), PlainSettingsReader.read(text, Sample.class), list);
            }
        }
    }

    /** Files that the YAML reader has to read or reject. */
    @Nested
    final class OtherFiles {
        /** Guards against values that are accepted or read differently from YAML. */
        @Test
        void testOtherValuesAreLeftToTheYamlReader() {
            for (String port : List.of("08", "0x10", "1e3", "1.0", "-", "", "2147483648", "\"1\"", "1 # c", "1_0")) {
                String text = VALID.replace("8080", port);

                assertNull(PlainSettingsReader.read(text, Sample.class), port);
            }
            for (String name : List.of("a", "'a'", "\"a\\n\"", "\"a", "\"a\"\"", "\"é\"", "null", "~", "\"a\" ")) {
                String text = VALID.replace("\"a b\"", name);

                assertNull(PlainSettingsReader.read(text, Sample.class), name);
            }
        }

        @Test
        void testWrongKeysAreLeftToTheYamlReader() {
            for (String text : List.of(
                    VALID.replace("port: 8080\n", ""),
                    VALID.replace("port", "prot"),
                    VALID + "port: 1\n",
                    VALID.replace("  count: 3\n", ""),
                    VALID.replace("count: 3", "count: -1"),
                    VALID.replace("section:", "section: 1"),
                    "  " + VALID,
                    "---\n" + VALID,
                    VALID.replace("\n", "\r\n"))) {
                assertNull(PlainSettingsReader.read(text, Sample.class), text);
            }
        }

        /** Guards against any difference from YAML; seed 1. */
        @Test
        void testChangedFilesAreReadAsYamlOrNotAtAll() {
            String alphabet = "ab:09-. \"'[],#\\\n\t{}&*!|>%@`~\r\u00e9\u0085";
            SplittableRandom random = new SplittableRandom(1);
            int plain = 0;
            for (int run = 0; run < 3_000; run++) {
                StringBuilder text = new StringBuilder(VALID);
                for (int change = random.nextInt(1, 3); change > 0; change--) {
                    int at = random.nextInt(text.length());
                    String replacement = random.nextInt(3) == 0
                            ? ""
                            : String.valueOf(alphabet.charAt(random.nextInt(alphabet.length())));
                    text.replace(at, at + random.nextInt(2), replacement);
                }
                Sample read = PlainSettingsReader.read(text.toString(), Sample.class);
                if (read != null) {
                    plain++;
                    assertEquals(yaml(text.toString()), read, text.toString());
                }
            }
            assertTrue(plain > 100, "files read without YAML: " + plain);
        }

        /** Guards against errors that do not name the line and the key. */
        @Test
        void testErrorsStateLineAndKey(@TempDir Path folder) throws IOException {
            Path file = folder.resolve("settings.yaml");
            Files.writeString(file, VALID.replace("8080", "x"));

            SettingsException failure =
                    assertThrows(SettingsException.class, () -> new SettingsLoader().load(file, Sample.class));

            assertTrue(String.valueOf(failure.getMessage()).contains("line 3, port"), failure.getMessage());
        }
    }
}
