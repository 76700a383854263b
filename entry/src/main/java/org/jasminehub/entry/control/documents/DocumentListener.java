package org.jasminehub.entry.control.documents;

import java.util.List;
import org.jasminehub.core.document.DocumentInForce;

/** Hears of each change of the documents in force; called on the control thread. */
@FunctionalInterface
public interface DocumentListener {
    /** Takes all documents in force and whether this instance may serve by them. */
    void onDocuments(List<DocumentInForce> documents, boolean isServing);
}
