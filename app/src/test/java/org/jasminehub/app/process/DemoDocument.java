package org.jasminehub.app.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import org.jasminehub.standin.LogStandin;

/** The demo's document, for tests that need some document in force. */
public final class DemoDocument {
    private DemoDocument() {}

    /** Publishes the document to {@code log}. */
    public static void publishTo(LogStandin log) {
        try (InputStream document = DemoDocument.class.getResourceAsStream("/demo/document.yaml")) {
            log.append(document.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
