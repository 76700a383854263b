package org.jasminehub.entry.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.entry.control.ControlState;
import org.jasminehub.platform.list.MemberJson;

/** Serves the documents in force and the known members to operators. Thread-safe. */
final class StatusPage {
    private final String instance;
    private final Supplier<ControlState> state;

    StatusPage(String instance, Supplier<ControlState> state) {
        this.instance = instance;
        this.state = state;
    }

    CompletionStage<HttpResponse> handle(HttpRequest request) {
        ControlState now = state.get();
        List<VersionJson> versions = now.documents().stream()
                .map(document -> new VersionJson(document.document().team(), document.version()))
                .toList();
        List<MemberJson> members = now.members().stream().map(MemberJson::of).toList();
        return CompletableFuture.completedFuture(
                Responses.json(new StatusJson(instance, now.isCurrent(), versions, members)));
    }

    /** The response body. */
    record StatusJson(String instance, boolean current, List<VersionJson> documents, List<MemberJson> members) {}

    /** The version of a team's document that is in force. */
    record VersionJson(String team, long version) {}
}
