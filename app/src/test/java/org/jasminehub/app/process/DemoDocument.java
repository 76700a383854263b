package org.jasminehub.app.process;

import org.jasminehub.standin.LogStandin;

/** Publishes the demo document, for tests that need any document in force. */
public final class DemoDocument {
    private DemoDocument() {}

    /** Publishes the document to {@code log}. */
    public static void publishTo(LogStandin log) {
        log.append(org.jasminehub.app.demo.DemoDocument.firstRecord());
    }
}
