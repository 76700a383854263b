package org.jasminehub.entry.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;
import org.jasminehub.core.document.DocumentInForce;
import org.jasminehub.core.document.DocumentYamlAdapter;
import org.jasminehub.core.document.TeamDocument;
import org.jasminehub.core.error.DocumentException;
import org.jasminehub.core.identity.TeamId;
import org.jasminehub.platform.log.LogPage;
import org.jasminehub.platform.log.LogRecord;
import org.jasminehub.platform.log.LogService;
import org.jspecify.annotations.Nullable;

/** Reads documents from the platform's log; all methods run on the control thread. */
public final class DocumentController {
    private static final int MAX_RECORDS = 256;
    private static final int WAIT_MILLIS = 1_000;

    private final ControlThread control;
    private final LogService log;
    private final DocumentYamlAdapter adapter = new DocumentYamlAdapter();
    private final Map<TeamId, DocumentInForce> documents = new TreeMap<>();
    private long nextOffset;
    private boolean reading;

    /** Creates a controller that reads {@code log} from its first offset. */
    public DocumentController(ControlThread control, LogService log) {
        this.control = control;
        this.log = log;
    }

    /** Reads on unless a read is under way. */
    public void refresh() {
        if (reading) {
            return;
        }
        reading = true;
        log.read(nextOffset, MAX_RECORDS, WAIT_MILLIS).whenCompleteAsync(this::onRead, control);
    }

    private void onRead(@Nullable LogPage page, @Nullable Throwable failure) {
        reading = false;
        if (page == null) {
            return;
        }
        page.records().forEach(this::apply);
        control.update(state -> state.withDocuments(new ArrayList<>(documents.values()), true));
        refresh();
    }

    private void apply(LogRecord record) {
        nextOffset = record.offset() + 1;
        try {
            TeamDocument document = adapter.read(new String(record.payload(), StandardCharsets.UTF_8));
            documents.put(document.teamId(), new DocumentInForce(document, record.offset()));
        } catch (DocumentException e) {
            // A record that is no document changes nothing.
        }
    }
}
