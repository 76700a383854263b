package org.jasminehub.entry.control.documents;

import java.util.List;
import org.jasminehub.core.document.DocumentInForce;

/** Receives each change of the documents in force. Called on the control thread. */
@FunctionalInterface
public interface DocumentListener {
    /** Called with all documents in force; {@code isServing} is true if this instance may serve requests by them. */
    void onDocuments(List<DocumentInForce> documents, boolean isServing);
}
