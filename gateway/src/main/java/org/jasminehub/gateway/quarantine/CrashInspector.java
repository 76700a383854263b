package org.jasminehub.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.quarantine.CrashSuspect;
import org.jasminehub.core.quarantine.EndpointCrash;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;

/**
 * Tells the crash of an endpoint from a connection that was reset: an endpoint that crashed accepts no connections.
 *
 * <p>Must be used on the process's event loop only.
 */
final class CrashInspector {
    /** The calls that wait for the result of one check. */
    private record Inspection(List<CrashSuspect> suspects, List<Runnable> continuations) {}

    private final EndpointClient client;
    private final Consumer<EndpointCrash> onCrash;
    private final Map<EndpointId, Inspection> inspections = new HashMap<>();

    CrashInspector(EndpointClient client, Consumer<EndpointCrash> onCrash) {
        this.client = client;
        this.onCrash = onCrash;
    }

    /** Checks an endpoint that cut a call before its first output; runs {@code continuation} after the check. */
    void inspect(EndpointRecord endpoint, CrashSuspect suspect, Runnable continuation) {
        Inspection running = inspections.get(endpoint.id());
        if (running != null) {
            running.suspects().add(suspect);
            running.continuations().add(continuation);
            return;
        }
        Inspection started = new Inspection(new ArrayList<>(List.of(suspect)), new ArrayList<>(List.of(continuation)));
        inspections.put(endpoint.id(), started);
        client.checkListening(new EndpointAddress(endpoint.host(), endpoint.port()), isListening -> {
            inspections.remove(endpoint.id());
            // Each continuation is a task of its own, so that a failure leaves no other call without its next attempt.
            started.continuations().forEach(client.loop()::execute);
            if (!isListening) {
                onCrash.accept(new EndpointCrash(endpoint.id(), endpoint.startedWallMillis(), started.suspects(), 0));
            }
        });
    }
}
