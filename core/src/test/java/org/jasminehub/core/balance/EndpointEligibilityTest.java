package org.jasminehub.core.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;
import org.junit.jupiter.api.Test;

final class EndpointEligibilityTest {
    private static EndpointRecord endpoint(String id, String service, int port, long started, boolean isDraining) {
        return new EndpointRecord(
                new EndpointId(id), started, service, "10.0.0.1", port, new FailureDomain("a"), 8, isDraining, null);
    }

    private static List<String> names(Map<String, List<EndpointRecord>> eligible, String service) {
        return eligible.getOrDefault(service, List.of()).stream()
                .map(endpoint -> endpoint.id().value())
                .toList();
    }

    @Test
    void testOlderEndpointAtSameAddressIsNotEligible() {
        Map<String, List<EndpointRecord>> eligible = EndpointEligibility.serving(
                List.of(endpoint("old", "s", 1, 100, false), endpoint("new", "s", 1, 200, false)), endpoint -> false);

        assertEquals(List.of("new"), names(eligible, "s"));
    }

    @Test
    void testOlderEndpointIsNotEligibleIfAnotherServiceReusesItsAddress() {
        Map<String, List<EndpointRecord>> eligible = EndpointEligibility.serving(
                List.of(endpoint("old", "s", 1, 100, false), endpoint("new", "t", 1, 200, false)), endpoint -> false);

        assertEquals(List.of(), names(eligible, "s"));
        assertEquals(List.of("new"), names(eligible, "t"));
    }

    @Test
    void testDrainingEndpointStillSupersedesOlderOneAtSameAddress() {
        Map<String, List<EndpointRecord>> eligible = EndpointEligibility.serving(
                List.of(endpoint("old", "s", 1, 100, false), endpoint("new", "s", 1, 200, true)), endpoint -> false);

        assertEquals(List.of(), names(eligible, "s"));
    }

    @Test
    void testEndpointsAtDifferentAddressesAreAllEligible() {
        Map<String, List<EndpointRecord>> eligible = EndpointEligibility.serving(
                List.of(endpoint("one", "s", 1, 100, false), endpoint("two", "s", 2, 200, false)), endpoint -> false);

        assertEquals(List.of("one", "two"), names(eligible, "s"));
    }

    @Test
    void testLeavingEndpointIsNotEligibleAndStillSupersedesOlderOneAtSameAddress() {
        Map<String, List<EndpointRecord>> eligible = EndpointEligibility.serving(
                List.of(endpoint("old", "s", 1, 100, false), endpoint("new", "s", 1, 200, false)),
                endpoint -> endpoint.id().value().equals("new"));

        assertEquals(List.of(), names(eligible, "s"));
    }
}
