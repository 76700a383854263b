package org.jasminehub.agent.engine;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.jasminehub.platform.http.Address;
import org.jasminehub.wire.generated.CallStart;
import org.jasminehub.wire.generated.Header;

/** Sends each call to the endpoint over HTTP exactly once, without retries. Thread-safe. */
public final class EndpointClient {
    private static final int MAX_CONNECTIONS = 512;
    private static final int MAX_OPEN_REQUESTS = 1_024;

    private final ActorSystem<?> system;
    private final Address endpoint;
    private final ConnectionPoolSettings poolSettings;

    /** Creates a client for the endpoint at {@code endpoint}. */
    public EndpointClient(ActorSystem<?> system, Address endpoint) {
        this.system = system;
        this.endpoint = endpoint;
        this.poolSettings = ConnectionPoolSettings.create(system.classicSystem())
                .withMaxConnections(MAX_CONNECTIONS)
                .withMaxOpenRequests(MAX_OPEN_REQUESTS)
                .withMaxRetries(0);
    }

    /** Sends the request that {@code start} describes. */
    public CompletionStage<HttpResponse> send(CallStart start) {
        return Http.get(system)
                .singleRequest(
                        toRequest(start),
                        Http.get(system).defaultClientHttpsContext(),
                        poolSettings,
                        system.classicSystem().log());
    }

    /** Sends a GET request for {@code path} to the endpoint. */
    public CompletionStage<HttpResponse> get(String path) {
        return Http.get(system).singleRequest(HttpRequest.GET(endpoint.toUrl() + path));
    }

    private HttpRequest toRequest(CallStart start) {
        HttpRequest request = HttpRequest.create(endpoint.toUrl() + start.getPath())
                .withMethod(HttpMethods.lookup(start.getMethod()).orElse(HttpMethods.POST))
                .addHeader(RawHeader.create("x-request-id", start.getRequestId()))
                .addHeader(RawHeader.create("x-priority", start.getPriority().name()));
        if (start.getResumeFromEvent() > 0) {
            request = request.addHeader(
                    RawHeader.create("x-resume-from-event", Integer.toString(start.getResumeFromEvent())));
        }
        for (Header header : start.getHeadersList()) {
            request = request.addHeader(RawHeader.create(header.getName(), header.getValue()));
        }
        if (start.getBody().isEmpty()) {
            return request;
        }
        return request.withEntity(ContentTypes.APPLICATION_JSON, start.getBody().toByteArray());
    }
}
