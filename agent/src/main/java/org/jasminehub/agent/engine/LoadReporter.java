package org.jasminehub.agent.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.jasminehub.wire.generated.EndpointLoad;

/**
 * Reads the engine's load report and turns it into the message for entry instances.
 *
 * <p>A plain service reports nothing, and so does an engine that does not answer: then only the agent's own state is
 * sent, which still tells peers that the agent lives. Safe for use by several threads.
 */
public final class LoadReporter {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int READ_TIMEOUT_MILLIS = 1_000;

    private final ActorSystem<?> system;
    private final EndpointClient client;
    private final boolean isModel;
    private final BooleanSupplier accepting;
    private final Consumer<EndpointLoad> sender;

    /** Creates a reporter that hands each report to {@code sender}. */
    public LoadReporter(
            ActorSystem<?> system,
            EndpointClient client,
            boolean isModel,
            BooleanSupplier accepting,
            Consumer<EndpointLoad> sender) {
        this.system = system;
        this.client = client;
        this.isModel = isModel;
        this.accepting = accepting;
        this.sender = sender;
    }

    /** Reads and sends one report; does not block. */
    public void report() {
        if (!isModel) {
            sender.accept(EndpointLoad.newBuilder()
                    .setAccepting(accepting.getAsBoolean())
                    .build());
            return;
        }
        client.get("/v1/load")
                .thenCompose(response -> response.entity().toStrict(READ_TIMEOUT_MILLIS, system))
                .thenApply(this::parse)
                .exceptionally(
                        failure -> EndpointLoad.newBuilder().setAccepting(false).build())
                .thenAccept(sender);
    }

    private EndpointLoad parse(HttpEntity.Strict entity) {
        try {
            EngineLoad load = MAPPER.readValue(entity.getData().toArray(), EngineLoad.class);
            return EndpointLoad.newBuilder()
                    .setQueuedTokens(load.queuedRequests())
                    .setRunningRequests(load.runningRequests())
                    .setCapacityRequests(load.capacityRequests())
                    .setStepMillis(load.stepMillis())
                    .setPrefillTokensPerSecond(load.prefillTokensPerSecond())
                    .setAgeMillis(load.ageMillis())
                    .setAccepting(accepting.getAsBoolean())
                    .build();
        } catch (IOException e) {
            return EndpointLoad.newBuilder().setAccepting(false).build();
        }
    }

    /** The engine's report. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private record EngineLoad(
            int queuedRequests,
            int runningRequests,
            int capacityRequests,
            double stepMillis,
            double prefillTokensPerSecond,
            long ageMillis) {}
}
