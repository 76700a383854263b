package org.jasminehub.app.process;

import org.jasminehub.standin.LogStandin;

/** The demo's document, for tests that need some document in force. */
public final class DemoDocument {
    private DemoDocument() {}

    /** Publishes the document to {@code log}. */
    public static void publishTo(LogStandin log) {
        log.append(org.jasminehub.app.demo.DemoDocument.firstRecord());
    }
}
