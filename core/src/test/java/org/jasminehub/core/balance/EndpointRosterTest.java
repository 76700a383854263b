package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;
import org.junit.jupiter.api.Test;

/** Registrations of endpoints that were replaced. */
final class EndpointRosterTest {
    private static EndpointRecord endpoint(String id, String service, int port, long started, boolean isDraining) {
        return new EndpointRecord(
                new EndpointId(id), started, service, "10.0.0.1", port, new FailureDomain("a"), 8, isDraining, null);
    }

    private static List<String> names(Map<String, List<EndpointRecord>> serving, String service) {
        return serving.getOrDefault(service, List.of()).stream()
                .map(endpoint -> endpoint.id().value())
                .toList();
    }

    @Test
    void testAnEndpointWhoseAddressAnotherTookLaterTakesNoCalls() {
        Map<String, List<EndpointRecord>> serving = EndpointRoster.serving(
                List.of(endpoint("old", "s", 1, 100, false), endpoint("new", "s", 1, 200, false)));

        assertEquals(List.of("new"), names(serving, "s"));
    }

    @Test
    void testAnAddressThatAnotherServiceTookIsNotUsedForTheFirst() {
        Map<String, List<EndpointRecord>> serving = EndpointRoster.serving(
                List.of(endpoint("old", "s", 1, 100, false), endpoint("new", "t", 1, 200, false)));

        assertEquals(List.of(), names(serving, "s"));
        assertEquals(List.of("new"), names(serving, "t"));
    }

    @Test
    void testADrainingEndpointStillOwnsItsAddress() {
        Map<String, List<EndpointRecord>> serving = EndpointRoster.serving(
                List.of(endpoint("old", "s", 1, 100, false), endpoint("new", "s", 1, 200, true)));

        assertEquals(List.of(), names(serving, "s"));
    }

    @Test
    void testEndpointsAtDifferentAddressesAllServe() {
        Map<String, List<EndpointRecord>> serving = EndpointRoster.serving(
                List.of(endpoint("one", "s", 1, 100, false), endpoint("two", "s", 2, 200, false)));

        assertEquals(List.of("one", "two"), names(serving, "s"));
    }
}
