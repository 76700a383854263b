package org.jasminehub.core.history;

/** A record of the log that concerns documents. */
public sealed interface HistoryRecord permits PublishRecord, SnapshotRecord {}
