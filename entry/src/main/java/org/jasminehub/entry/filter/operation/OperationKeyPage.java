package org.jasminehub.entry.filter.operation;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.error.RequestException;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Target;
import org.jasminehub.core.operation.AgentIncarnation;
import org.jasminehub.core.operation.OperationMessage;
import org.jasminehub.entry.endpoint.EndpointDirectory;
import org.jasminehub.entry.endpoint.EndpointLink;

/**
 * Handles {@code POST /v1/operation-keys?service=NAME}: issues an operation key whose home is a live agent of the
 * service.
 *
 * <p>This also works while the log is unavailable. Thread-safe.
 */
public final class OperationKeyPage {
    private static final int REPLY_TIMEOUT_MILLIS = 2_000;
    private static final int STATUS_CREATED = 201;
    private static final long RETRY_AFTER_MILLIS = 500;

    private final EndpointDirectory directory;
    private final HomeClient homeClient;

    /** Creates a page that requests keys from the agents in {@code directory}. */
    public OperationKeyPage(EndpointDirectory directory) {
        this.directory = directory;
        this.homeClient = new HomeClient(directory);
    }

    /**
     * Returns the response to {@code request}; fails with {@link RequestException} if no agent of the service is
     * available.
     */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        String service = request.getUri().query().get("service").orElse("");
        if (service.isBlank()) {
            return CompletableFuture.failedFuture(new RequestException(
                    ErrorCode.REQUEST_MALFORMED, Outcome.NOT_RUN, "the query parameter service is missing"));
        }
        return requestKey(directory.usable(Target.service(service)), service);
    }

    /**
     * Requests a key from the agents in turn until one replies. A key whose reply is lost is harmless, because it is
     * never used.
     */
    private CompletionStage<HttpResponse> requestKey(List<EndpointLink> links, String service) {
        if (links.isEmpty()) {
            return CompletableFuture.failedFuture(new RequestException(
                    ErrorCode.NO_ENDPOINT, Outcome.NOT_RUN, RETRY_AFTER_MILLIS, "no agent serves " + service));
        }
        EndpointLink first = links.get(0);
        AgentIncarnation agent = new AgentIncarnation(
                new InstanceId(first.id().value()), first.peer().getIncarnation());
        return homeClient
                .send(agent, new OperationMessage.AskKey(), REPLY_TIMEOUT_MILLIS)
                .handle((reply, failure) -> reply instanceof OperationMessage.KeyIssued issued
                        ? CompletableFuture.completedFuture(toResponse(issued))
                        : requestKey(links.subList(1, links.size()), service))
                .thenCompose(stage -> stage);
    }

    private static HttpResponse toResponse(OperationMessage.KeyIssued issued) {
        return HttpResponse.create()
                .withStatus(STATUS_CREATED)
                .withEntity(ContentTypes.APPLICATION_JSON, "{\"key\":\"" + issued.key() + "\"}");
    }
}
