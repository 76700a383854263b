package org.jasminehub.gateway.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.event.EventSink;

/** Logs rejected records, each once until it changes: its writer may write it again every second. */
final class RejectionLog {
    /** Bounds the memory that records of another writer can use up; beyond it, records may be logged again. */
    private static final int MAX_KEYS = 1_000;

    private final EventSink events;
    private final Map<String, String> reasonByKey = new HashMap<>();

    RejectionLog(EventSink events) {
        this.events = events;
    }

    /** Logs that the record of {@code key} was rejected for {@code reason}, unless that is known. */
    void onRejected(String key, String reason) {
        if (reasonByKey.size() >= MAX_KEYS) {
            reasonByKey.clear();
        }
        if (!reason.equals(reasonByKey.put(key, reason))) {
            events.emit(new ControlEvent(ControlEventKind.RECORD_REJECTED, key, reason, 0));
        }
    }

    /** Records that the record of {@code key} is valid now or gone. */
    void onResolved(String key) {
        reasonByKey.remove(key);
    }

    /** Forgets the records of all keys other than {@code listed}. */
    void retain(Collection<String> listed) {
        reasonByKey.keySet().retainAll(listed);
    }
}
