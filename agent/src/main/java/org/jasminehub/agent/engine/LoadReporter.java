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
 * Reads the engine's load report and converts it to the message for entry instances.
 *
 * <p>For a plain service, the message contains only whether the agent accepts calls. If an engine does not respond with
 * a valid report, the message states that the agent does not accept calls. In both cases the message still shows peers
 * that the agent is alive. Thread-safe.
 */
public final class LoadReporter {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int READ_TIMEOUT_MILLIS = 1_000;

    private final ActorSystem<?> system;
    private final EndpointClient client;
    private final boolean isModel;
    private final BooleanSupplier isAccepting;
    private final Consumer<EndpointLoad> sender;

    /** Creates a reporter that passes each report to {@code sender}. */
    public LoadReporter(
            ActorSystem<?> system,
            EndpointClient client,
            boolean isModel,
            BooleanSupplier isAccepting,
            Consumer<EndpointLoad> sender) {
        this.system = system;
        this.client = client;
        this.isModel = isModel;
        this.isAccepting = isAccepting;
        this.sender = sender;
    }

    /** Reads the engine's load and sends one report; does not block. */
    public void report() {
        if (!isModel) {
            sender.accept(EndpointLoad.newBuilder()
                    .setAccepting(isAccepting.getAsBoolean())
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
                    .setAccepting(isAccepting.getAsBoolean())
                    .build();
        } catch (IOException e) {
            return EndpointLoad.newBuilder().setAccepting(false).build();
        }
    }

    /** The load report of the engine. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private record EngineLoad(
            int queuedRequests,
            int runningRequests,
            int capacityRequests,
            double stepMillis,
            double prefillTokensPerSecond,
            long ageMillis) {}
}
