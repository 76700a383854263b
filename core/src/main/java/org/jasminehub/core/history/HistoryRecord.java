package org.jasminehub.core.history;

/** A record of the document history in the log. */
public sealed interface HistoryRecord permits PublishRecord, SnapshotRecord {}
