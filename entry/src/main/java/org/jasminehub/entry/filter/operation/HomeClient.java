package org.jasminehub.entry.filter.operation;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.operation.AgentIncarnation;
import org.jasminehub.core.operation.OperationMessage;
import org.jasminehub.core.operation.OperationMessageCodec;
import org.jasminehub.entry.endpoint.EndpointDirectory;
import org.jasminehub.entry.endpoint.EndpointLink;
import org.jasminehub.wire.WireException;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.TicketRequest;

/** Sends operation messages to agents. Thread-safe. */
final class HomeClient {
    private final EndpointDirectory directory;

    HomeClient(EndpointDirectory directory) {
        this.directory = directory;
    }

    /** Returns the connection to {@code agent}, or empty if the agent is not connected or has another incarnation. */
    Optional<EndpointLink> find(AgentIncarnation agent) {
        return directory
                .link(new EndpointId(agent.agent().value()))
                .filter(link -> link.peer().getIncarnation() == agent.incarnation());
    }

    /**
     * Returns the reply to {@code message}; fails if the agent is not connected or does not reply within {@code
     * timeoutMillis}.
     */
    CompletionStage<OperationMessage> send(AgentIncarnation agent, OperationMessage message, int timeoutMillis) {
        Optional<EndpointLink> link = find(agent);
        if (link.isEmpty()) {
            return CompletableFuture.failedFuture(new WireException(agent + " is not connected", null));
        }
        ControlRequest.Builder request = ControlRequest.newBuilder()
                .setTicket(TicketRequest.newBuilder().setIdempotencyKey(OperationMessageCodec.write(message)));
        return link.get().client().request(request, timeoutMillis).thenApply(HomeClient::messageOf);
    }

    private static OperationMessage messageOf(ControlReply reply) {
        return OperationMessageCodec.read(reply.getTicket().getTicket())
                .orElseThrow(() -> new WireException("the reply holds no operation message", null));
    }
}
