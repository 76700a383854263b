package org.jasminehub.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.wire.generated.EndpointCalls;
import org.jasminehub.wire.generated.EndpointPace;
import org.jasminehub.wire.generated.PeerStatus;

/**
 * Exchanges the open calls and the measured slowdowns of endpoints in the statuses of instances. Endpoints are named by
 * a hash there.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class LoadExchange implements PeerExtension {
    private final String self;
    private final EndpointController endpoints;
    private final EndpointLoads loads;
    private final Supplier<Optional<Map<EndpointId, Double>>> slowdownSource;

    /**
     * Creates an exchange for the instance {@code self}.
     *
     * @param slowdownSource the slowdowns that this instance measures; empty while another instance measures them
     */
    public LoadExchange(
            String self,
            EndpointController endpoints,
            EndpointLoads loads,
            Supplier<Optional<Map<EndpointId, Double>>> slowdownSource) {
        this.self = self;
        this.endpoints = endpoints;
        this.loads = loads;
        this.slowdownSource = slowdownSource;
    }

    @Override
    public void addTo(PeerStatus.Builder status) {
        new TreeMap<>(loads.ownCalls())
                .forEach((endpoint, calls) -> status.addCalls(EndpointCalls.newBuilder()
                        .setEndpointHash(endpoint.value().hashCode())
                        .setCalls(calls)));
        slowdownSource.get().ifPresent(slowdownByEndpoint -> {
            loads.onSlowdowns(self, slowdownByEndpoint);
            status.setHasPaces(true);
            new TreeMap<>(slowdownByEndpoint)
                    .forEach((endpoint, pace) -> status.addPaces(EndpointPace.newBuilder()
                            .setEndpointHash(endpoint.value().hashCode())
                            .setPace(pace)));
        });
    }

    @Override
    public void onPeerStatus(String instance, PeerStatus status) {
        Map<Integer, Integer> callsByHash = new HashMap<>();
        status.getCallsList().forEach(calls -> callsByHash.put(calls.getEndpointHash(), calls.getCalls()));
        Map<Integer, Double> pacesByHash = new HashMap<>();
        status.getPacesList().forEach(pace -> pacesByHash.put(pace.getEndpointHash(), pace.getPace()));
        Map<EndpointId, Integer> calls = new HashMap<>();
        Map<EndpointId, Double> slowdownByEndpoint = new HashMap<>();
        endpoints.all().forEach(endpoint -> {
            int hash = endpoint.id().value().hashCode();
            Integer count = callsByHash.get(hash);
            if (count != null) {
                calls.put(endpoint.id(), count);
            }
            Double pace = pacesByHash.get(hash);
            if (pace != null) {
                slowdownByEndpoint.put(endpoint.id(), pace);
            }
        });
        loads.onPeerLoads(instance, calls);
        if (status.getHasPaces()) {
            loads.onSlowdowns(instance, slowdownByEndpoint);
        }
    }
}
