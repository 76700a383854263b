package org.jasminehub.core.yaml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StrictYamlReaderTest {
    private final StrictYamlReader reader = new StrictYamlReader();

    record Sample(String name, int timeoutMillis) {}

    private YamlFailure failureOf(String text) {
        return assertThrows(YamlException.class, () -> reader.read(text, Sample.class))
                .failure();
    }

    @Nested
    final class Accepts {
        @Test
        void testCompleteMapping() {
            assertEquals(new Sample("a", 5), reader.read("name: a\ntimeoutMillis: 5\n", Sample.class));
        }
    }

    @Nested
    final class Rejects {
        @Test
        void testUnknownKeyIsReportedWithItsLine() {
            YamlFailure failure = failureOf("name: a\ntimeoutMillis: 5\ntimeout: 5\n");
            assertEquals("timeout", failure.path());
            assertEquals(3, failure.line());
        }

        @Test
        void testMissingKeyIsReported() {
            assertEquals("timeoutMillis", failureOf("name: a\n").path());
        }

        @Test
        void testDuplicateKeyIsRejected() {
            assertEquals(
                    "valid YAML",
                    failureOf("name: a\nname: b\ntimeoutMillis: 5\n").expected());
        }

        @Test
        void testTextInsteadOfNumberIsRejected() {
            assertEquals(
                    "timeoutMillis", failureOf("name: a\ntimeoutMillis: 5s\n").path());
        }

        @Test
        void testFractionInsteadOfIntegerIsRejected() {
            assertEquals(
                    "timeoutMillis", failureOf("name: a\ntimeoutMillis: 5.5\n").path());
        }

        @Test
        void testEmptyTextIsRejected() {
            assertThrows(YamlException.class, () -> reader.read("", Sample.class));
        }

        @Test
        void testNullValueIsRejected() {
            assertEquals("name", failureOf("name:\ntimeoutMillis: 5\n").path());
        }
    }
}
