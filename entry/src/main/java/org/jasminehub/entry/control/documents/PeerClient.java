package org.jasminehub.entry.control.documents;

import java.util.concurrent.CompletionStage;
import org.jasminehub.core.membership.Member;
import org.jasminehub.wire.generated.RecordsReply;
import org.jasminehub.wire.generated.RecordsRequest;

/** Asks other entry instances for records. */
@FunctionalInterface
public interface PeerClient {
    /** Returns the answer of {@code peer}; the stage fails where it gives none in time. */
    CompletionStage<RecordsReply> ask(Member peer, RecordsRequest request);
}
