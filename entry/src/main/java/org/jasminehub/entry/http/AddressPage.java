package org.jasminehub.entry.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.core.address.AddressPolicy;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.entry.EntrySettings;
import org.jasminehub.entry.control.ControlState;

/** Serves the addresses of the entry instances that callers of a workspace should use. Thread-safe. */
final class AddressPage {
    private final Supplier<ControlState> state;
    private final AddressPolicy policy;
    private final EntrySettings settings;
    private final BooleanSupplier isLeaving;

    AddressPage(Supplier<ControlState> state, AddressPolicy policy, EntrySettings settings, BooleanSupplier isLeaving) {
        this.state = state;
        this.policy = policy;
        this.settings = settings;
        this.isLeaving = isLeaving;
    }

    CompletionStage<HttpResponse> handle(HttpRequest request) {
        String workspace = request.getUri().query().get("workspace").orElse("");
        if (workspace.isBlank()) {
            return CompletableFuture.failedFuture(RequestReader.malformed("the query needs workspace=NAME"));
        }
        List<Member> entries = state.get().membersOf(MemberRole.ENTRY).stream()
                .filter(this::isListed)
                .toList();
        List<String> addresses = policy.choose(new WorkspaceId(workspace), entries).stream()
                .map(member -> member.host() + ":" + member.callerPort())
                .toList();
        return CompletableFuture.completedFuture(
                Responses.json(new AddressesJson(addresses, settings.addressTtlMillis())));
    }

    private boolean isListed(Member member) {
        boolean isSelf = member.id().value().equals(settings.instance());
        return !(isSelf && isLeaving.getAsBoolean());
    }

    /** The response body: the addresses in order of preference and how long callers may cache them. */
    record AddressesJson(List<String> addresses, int ttlMillis) {}
}
