package org.jasminehub.entry.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.core.address.AddressPolicy;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.entry.control.ControlState;

/** Answers which entry instances a workspace's callers should connect to. Safe for use by several threads. */
final class AddressPage {
    private final Supplier<ControlState> state;
    private final AddressPolicy policy;
    private final int ttlMillis;

    AddressPage(Supplier<ControlState> state, AddressPolicy policy, int ttlMillis) {
        this.state = state;
        this.policy = policy;
        this.ttlMillis = ttlMillis;
    }

    CompletionStage<HttpResponse> handle(HttpRequest request) {
        String workspace = request.getUri().query().get("workspace").orElse("");
        if (workspace.isBlank()) {
            return CompletableFuture.failedFuture(RequestReader.malformed("the query needs workspace=NAME"));
        }
        List<String> addresses =
                policy.choose(new WorkspaceId(workspace), state.get().membersOf(MemberRole.ENTRY)).stream()
                        .map(member -> member.host() + ":" + member.callerPort())
                        .toList();
        return CompletableFuture.completedFuture(Responses.json(new AddressesJson(addresses, ttlMillis)));
    }

    /** The answer: addresses, the preferred one first, and how long they may be kept. */
    record AddressesJson(List<String> addresses, int ttlMillis) {}
}
