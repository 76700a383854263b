package org.jasminehub.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.jasminehub.core.balance.QuietPeriods;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.ratelimit.StatedRateLimit;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.gateway.net.ExchangeMonitor;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.platform.hosted.LogSlice;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreResponse;
import org.jasminehub.wire.generated.PeerStatus;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the checks at the choice of an endpoint and right before a request is written, and the exchange with peers. */
final class EvacuationControllerTest {
    private static final String REGISTRATION = """
            {"service":"s","address":"10.0.0.1:%d","zone":"%s","slots":4,"state":"ready","born":1,"sequence":1,
             "group":{"name":"g","epoch":1,"rank":%d,"size":2,"state":"open"}}
            """;

    private final ManualClock clock = new ManualClock(10_000);
    private final List<Event> events = new ArrayList<>();
    private final EraTracker eras = new EraTracker(clock);
    private final MetricRegistry metrics = new MetricRegistry();
    private final EvacuationController evacuations = new EvacuationController(eras, clock, events::add);
    private final EndpointController endpoints = new EndpointController(
            new StoreClient(
                    (call, timeoutMillis) ->
                            CompletableFuture.completedFuture(new StoreResponse(200, name -> null, registrations())),
                    eras),
            FollowerSettings.polling(1_000, 1_000),
            (delayMillis, action) -> {},
            clock,
            events::add,
            eras,
            evacuations::isEvacuated);
    private final EndpointMonitors monitors = new EndpointMonitors(
            endpoints, new QuietPeriods(clock), new NoRateLimits(), evacuations, clock, events::add);
    private final List<EndpointRecord> unavailable = new ArrayList<>();
    private int changes;

    /** Ignores the limits that endpoints state. */
    private static final class NoRateLimits implements RateLimitObserver {
        @Override
        public void onStated(EndpointIncarnation endpoint, StatedRateLimit limit) {
            // No test states a limit.
        }

        @Override
        public void onNoneStated(EndpointIncarnation endpoint, long sentMillis) {
            // No test states a limit.
        }
    }

    private static byte[] registrations() {
        String page = "{\"items\":[" + item("e-a", REGISTRATION.formatted(1, "a", 0)) + ","
                + item("e-b", REGISTRATION.formatted(2, "b", 1)) + "],\"has_more\":false,\"end\":2}";
        return page.getBytes(StandardCharsets.UTF_8);
    }

    private static String item(String key, String value) {
        return "{\"key\":\"" + key + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)) + "\"}";
    }

    @BeforeEach
    void start() {
        evacuations.register(metrics);
        evacuations.start(endpoints, extension -> {});
        endpoints.start(
                () -> {
                    changes++;
                    evacuations.onRegistrations(endpoints.all());
                },
                unavailable::add);
    }

    private EndpointRecord endpoint(String id) {
        return endpoints.find(new EndpointId(id)).orElseThrow();
    }

    private void read(long offset, String key, boolean isPresent) {
        KeyedRecord record = new KeyedRecord(key, isPresent ? new byte[] {1} : null, offset);
        evacuations.onOperatorLog(
                new LogSlice(offset + 1, offset + 1, List.of(record)), false, OptionalLong.of(clock.monotonicMillis()));
    }

    private List<String> serving() {
        return endpoints.serving("s").stream().map(each -> each.id().value()).toList();
    }

    private long withheld() {
        return ((Number) metrics.getGauges().get("domains.evacuated.withheld").getValue()).longValue();
    }

    /** The endpoints of an evacuated domain. */
    @Nested
    final class Endpoints {
        @Test
        void testTheyAreNotChosenAndTheirKeptConnectionsAreClosed() {
            EndpointRecord evacuated = endpoint("e-a");

            read(0, "evacuate/a", true);

            assertEquals(List.of("e-b"), serving());
            assertEquals(List.of(evacuated), unavailable);
            assertFalse(endpoints.accepts(evacuated));
            assertTrue(endpoints.accepts(endpoint("e-b")));
        }

        /** Guards against ranks that drop out of their group because their domain is evacuated. */
        @Test
        void testTheyStayInTheirGroupAndReachableForReportsAndOrders() {
            ExchangeMonitor ofEngine = monitors.forEngine(endpoint("e-a"));

            read(0, "evacuate/a", true);

            assertEquals(2, endpoints.all().size());
            assertTrue(endpoint("e-a").seat() != null);
            assertTrue(ofEngine.maySend());
        }

        /** Guards against a request that is written after the evacuation because its endpoint was chosen before. */
        @Test
        void testARequestThatIsNotWrittenYetIsWithheld() {
            ExchangeMonitor first = monitors.forCall(endpoint("e-a"), "r-1");
            ExchangeMonitor second = monitors.forCall(endpoint("e-b"), "r-1");
            assertTrue(first.maySend());

            read(0, "evacuate/a", true);

            assertFalse(first.maySend());
            assertTrue(second.maySend());
            assertEquals(1, withheld());
        }

        @Test
        void testTheyServeAgainAfterTheRemoval() {
            read(0, "evacuate/a", true);
            read(1, "evacuate/a", false);

            assertEquals(2, serving().size());
            assertTrue(endpoints.accepts(endpoint("e-a")));
        }

        @Test
        void testAServiceIsEvacuatedWithItsLastDomain() {
            read(0, "evacuate/a", true);
            read(1, "evacuate/b", true);

            assertEquals(List.of(), serving());
            assertTrue(endpoints.isEvacuated("s"));
            assertFalse(endpoints.isEvacuated("t"));
        }

        @Test
        void testOtherRecordsOfTheOperatorChangeNothing() {
            int before = changes;
            read(0, "config", true);
            read(1, "evacuate", true);
            read(2, "", true);

            assertEquals(before, changes);
            assertEquals(2, serving().size());
        }
    }

    /** The log lines about an evacuation. */
    @Nested
    final class Lines {
        private long count(ControlEventKind kind) {
            return events.stream().filter(event -> event.kind() == kind).count();
        }

        @Test
        void testTheLastRequestBeforeTheEvacuationIsDated() {
            monitors.forCall(endpoint("e-a"), "r-1").maySend();
            clock.advanceMillis(70);

            read(0, "evacuate/a", true);

            ControlEvent last = (ControlEvent) events.get(events.size() - 1);
            assertEquals(ControlEventKind.EVACUATION_LAST_REQUEST, last.kind());
            assertEquals(70, last.ageMillis());
        }

        @Test
        void testAnUnknownDomainIsReportedOnce() {
            read(0, "evacuate/x", true);
            read(1, "evacuate/a", true);

            assertEquals(1, count(ControlEventKind.EVACUATION_UNMATCHED));
        }

        @Test
        void testAMalformedKeyIsReportedOnce() {
            read(0, "evacuate/", true);

            assertEquals(1, count(ControlEventKind.RECORD_REJECTED));
        }
    }

    /** What is stated to peers. */
    @Nested
    final class Statements {
        private PeerStatus status() {
            PeerStatus.Builder status = PeerStatus.newBuilder();
            evacuations.addTo(status);
            return status.build();
        }

        @Test
        void testNothingIsStatedWithoutEvacuations() {
            assertEquals(PeerStatus.getDefaultInstance(), status());
        }

        @Test
        void testAnEvacuationAndItsEndAreStatedWithTheirPositions() {
            read(5, "evacuate/a", true);
            assertTrue(status().getEvacuations(0).getIsEvacuated());
            assertEquals(5, status().getEvacuations(0).getOffset());

            read(6, "evacuate/a", false);
            assertFalse(status().getEvacuations(0).getIsEvacuated());
            assertEquals(6, status().getEvacuations(0).getOffset());
        }
    }
}
