package org.jasminehub.ctl;

import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.platform.log.LogService;

/** Performs the actions of a {@link PublishSession}. */
final class PublishRunner {
    private static final long RETRY_PAUSE_MILLIS = 250;

    private final LogService log;
    private final Clock clock;
    private final Pause pause;

    PublishRunner(LogService log, Clock clock, Pause pause) {
        this.log = log;
        this.clock = clock;
        this.pause = pause;
    }

    /** Runs {@code session} until it finishes and returns its result. */
    PublishResult run(PublishSession session) {
        while (true) {
            PublishAction action = session.next(clock.monotonicMillis());
            if (action instanceof PublishAction.Finish finish) {
                return finish.result();
            }
            perform(action, session);
        }
    }

    private void perform(PublishAction action, PublishSession session) {
        try {
            if (action instanceof PublishAction.Read read) {
                session.onPage(
                        HistoryReader.await(log.read(read.fromOffset(), HistoryReader.MAX_RECORDS, read.waitMillis())));
            } else if (action instanceof PublishAction.Append append) {
                session.onAppendStarted();
                HistoryReader.await(log.append(append.payload()));
            }
        } catch (PlatformException e) {
            // A failed append may have taken effect; the following reads show whether it did. A failed read is retried.
            pause.pauseMillis(RETRY_PAUSE_MILLIS);
        }
    }
}
