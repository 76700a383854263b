package org.jasminehub.core.history;

import org.jasminehub.core.event.EventKind;
import org.jasminehub.core.event.Severity;

/** Event kinds of the document history, with numbers from 2000 to 2099. */
public enum DocumentEventKind implements EventKind {
    /** A publish was accepted. */
    DOCUMENT_ACCEPTED(2001, Severity.INFO, "A publish was accepted; its offset is the version in force."),
    /** A publish had a base other than the version in force. */
    PUBLISH_CONFLICTED(2002, Severity.WARNING, "A publish was based on another version than the one in force."),
    /** A publish was rejected because its document does not match the schema. */
    PUBLISH_REJECTED(2003, Severity.WARNING, "A publish's document does not pass the schema and is left out."),
    /** A record could not be decoded. */
    RECORD_UNREADABLE(2004, Severity.WARNING, "A record's bytes cannot be read; it is left out."),
    /** The log dropped records before this instance read them. */
    HISTORY_GAP_FOUND(2005, Severity.WARNING, "The log dropped records that were not read; nothing is decided."),
    /** A snapshot was installed. */
    STATE_INSTALLED(2006, Severity.INFO, "A snapshot of the log or of a peer was taken over."),
    /** A snapshot was refused. */
    SNAPSHOT_REFUSED(2007, Severity.ERROR, "A snapshot contradicts what is known here and is left out."),
    /** All parts of a snapshot were read. */
    SNAPSHOT_SEEN(2008, Severity.DETAIL, "All parts of a snapshot were read from the log."),
    /** This instance wrote a snapshot. */
    SNAPSHOT_WRITTEN(2009, Severity.INFO, "This instance wrote a snapshot to the log."),
    /** This instance's knowledge of whether its documents are up to date changed. */
    CURRENCY_CHANGED(2010, Severity.WARNING, "What this instance knows about being current changed."),
    /** Records could not be read from the log or from a peer. */
    RECORDS_UNAVAILABLE(2011, Severity.WARNING, "The log or a peer did not give records.");

    private final int number;
    private final Severity severity;
    private final String meaning;

    DocumentEventKind(int number, Severity severity, String meaning) {
        this.number = number;
        this.severity = severity;
        this.meaning = meaning;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Severity severity() {
        return severity;
    }

    @Override
    public String meaning() {
        return meaning;
    }
}
