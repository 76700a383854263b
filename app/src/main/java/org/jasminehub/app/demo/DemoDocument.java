package org.jasminehub.app.demo;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.history.HistoryRecordCodec;
import org.jasminehub.core.history.HistoryState;
import org.jasminehub.core.history.PublishRecord;

/** The document of the demo's team. */
public final class DemoDocument {
    private DemoDocument() {}

    /** Returns the log record that publishes the demo document as the first document of its team. */
    public static byte[] firstRecord() {
        return firstRecord(text());
    }

    /** Returns the log record that publishes {@code text} as the first document of its team. */
    public static byte[] firstRecord(String text) {
        String team = new DocumentYamlAdapter().read(text).team();
        PublishRecord publish =
                new PublishRecord(team, HistoryState.NO_VERSION, "demo", "demo", "first document", 0, text);
        return new HistoryRecordCodec().encode(publish);
    }

    /** Returns the text of the demo document. */
    public static String text() {
        try (InputStream document = DemoDocument.class.getResourceAsStream("/demo/document.yaml")) {
            byte[] bytes =
                    Objects.requireNonNull(document, "/demo/document.yaml").readAllBytes();
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
