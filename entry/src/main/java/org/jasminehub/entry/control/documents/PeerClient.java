package org.jasminehub.entry.control.documents;

import java.util.concurrent.CompletionStage;
import org.jasminehub.core.membership.Member;
import org.jasminehub.wire.generated.RecordsReply;
import org.jasminehub.wire.generated.RecordsRequest;

/** Requests records from other entry instances. */
@FunctionalInterface
public interface PeerClient {
    /** Returns the reply of {@code peer}. The stage fails if no reply arrives in time. */
    CompletionStage<RecordsReply> requestRecords(Member peer, RecordsRequest request);
}
