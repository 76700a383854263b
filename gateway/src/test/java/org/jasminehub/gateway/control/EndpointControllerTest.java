package org.jasminehub.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests when an endpoint counts as gone because its registration is missing from the log. */
final class EndpointControllerTest {
    private static final long POLL_MILLIS = 800;
    private static final long REREGISTRATION_MILLIS = 2_200;

    private final ScriptedStore store = new ScriptedStore();
    private final List<EndpointRecord> unavailable = new ArrayList<>();
    private final EndpointController endpoints = new EndpointController(
            store.client(),
            FollowerSettings.polling(POLL_MILLIS, 600),
            store::runAfter,
            store.clock,
            store.events::add,
            store.eras,
            domain -> false);

    private static KeyedRecord registration(String id, long sequence) {
        String text = "{\"service\":\"s\",\"address\":\"127.0.0.1:" + (9_000 + id.hashCode() % 100)
                + "\",\"zone\":\"a\",\"slots\":4,\"state\":\"ready\",\"born\":1,\"sequence\":" + sequence + "}";
        return new KeyedRecord(id, text.getBytes(StandardCharsets.UTF_8), KeyedRecord.UNKNOWN_OFFSET);
    }

    private static KeyedRecord expired(String id) {
        return new KeyedRecord(id, null, KeyedRecord.UNKNOWN_OFFSET);
    }

    private boolean isKnown(String id) {
        return endpoints.find(new EndpointId(id)).isPresent();
    }

    @BeforeEach
    void start() {
        endpoints.start(() -> {}, unavailable::add);
        store.answerNewest(2, registration("a", 1), registration("b", 1));
        store.advance(POLL_MILLIS);
    }

    private void loseStore() {
        store.fail();
        store.advance(POLL_MILLIS);
    }

    /** Without an outage, a registration that was removed means that the endpoint is gone. */
    @Nested
    final class InCalmTimes {
        @Test
        void testAnEndpointWhoseRegistrationIsRemovedIsGoneAtOnce() {
            store.answerKeyedRecords(3, expired("a"));

            assertFalse(isKnown("a"));
            assertEquals(1, unavailable.size());
        }

        /** Guards against calls that are refused because the registration lies in the next part of the log. */
        @Test
        void testAnEndpointIsKeptIfItsRegistrationFollowsInTheNextRead() {
            store.answerKeyedRecords(4, expired("a"));
            assertTrue(isKnown("a"));
            store.answerKeyedRecords(4, registration("a", 2));

            assertTrue(isKnown("a"));
            assertEquals(List.of(), unavailable);
        }

        @Test
        void testAnEndpointIsGoneIfNoRegistrationFollowsUpToTheEnd() {
            store.answerKeyedRecords(4, expired("a"));
            store.answerKeyedRecords(4, registration("b", 2));

            assertFalse(isKnown("a"));
        }
    }

    /** After an outage, registrations that expired meanwhile are renewed within about two seconds. */
    @Nested
    final class AfterAnOutage {
        @Test
        void testAnEndpointIsKeptIfItsRenewedRegistrationLiesBehindALongBacklog() {
            loseStore();
            store.answerKeyedRecords(100, expired("a"));
            for (int read = 0; read < 10; read++) {
                store.advance(500);
                store.answerKeyedRecords(100, registration("b", 2 + read));
                assertTrue(isKnown("a"));
            }
            long from = store.nextFrom();
            store.answerKeyedRecords(from + 1, registration("a", 2));
            store.advance(REREGISTRATION_MILLIS);

            assertTrue(isKnown("a"));
            assertEquals(List.of(), unavailable);
        }

        /** Guards against a conclusion from a read that is older than the time in which registrations are renewed. */
        @Test
        void testAnEndpointIsGoneOnlyAfterAReadThatIsNewerThanTheTimeForItsReturn() {
            loseStore();
            store.answerKeyedRecords(3, expired("a"));
            store.advance(REREGISTRATION_MILLIS - 1);
            assertTrue(isKnown("a"));
            store.reads.clear();
            store.advance(1);
            assertTrue(isKnown("a"));

            store.answerKeyedRecords(3);

            assertFalse(isKnown("a"));
            assertEquals(1, unavailable.size());
        }

        @Test
        void testAnEndpointThatRenewsItsRegistrationInTimeIsKept() {
            loseStore();
            store.answerKeyedRecords(3, expired("a"));
            store.advance(REREGISTRATION_MILLIS);
            store.reads.clear();
            endpoints.refresh();
            store.answerKeyedRecords(4, registration("a", 2));

            assertTrue(isKnown("a"));
        }
    }
}
