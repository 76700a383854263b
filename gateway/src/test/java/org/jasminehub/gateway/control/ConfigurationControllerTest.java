package org.jasminehub.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.jasminehub.core.era.StoreEra;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which versions of the configuration are applied, and when they count as the newest ones. */
final class ConfigurationControllerTest {
    private static final long OUTAGE_MILLIS = 6_000;

    private final ScriptedStore store = new ScriptedStore();
    private final ConfigurationController configuration = new ConfigurationController(
            store.client(),
            new ConfigurationReads("entry-1", store.eras, store.clock),
            FollowerSettings.batching(() -> 2_000, 250, 600),
            store::runAfter,
            store.clock,
            store.events::add,
            store.eras,
            (slice, isSnapshot, asOfMillis) -> {});

    private static KeyedRecord version(long version) {
        return record("{\"version\":" + version + ",\"routes\":[],\"services\":[],\"tenants\":[]}");
    }

    private static KeyedRecord record(String text) {
        return new KeyedRecord("config", text.getBytes(StandardCharsets.UTF_8), KeyedRecord.UNKNOWN_OFFSET);
    }

    private static KeyedRecord[] versions(int from, int to) {
        return IntStream.rangeClosed(from, to)
                .mapToObj(ConfigurationControllerTest::version)
                .toArray(KeyedRecord[]::new);
    }

    private long versionInForce() {
        return configuration.inForce().map(table -> table.version()).orElse(0L);
    }

    private List<String> applied() {
        return store.events.stream()
                .map(event -> (ControlEvent) event)
                .filter(event -> event.kind() == ControlEventKind.CONFIGURATION_APPLIED)
                .map(ControlEvent::subject)
                .toList();
    }

    @BeforeEach
    void start() {
        configuration.start(() -> {});
        store.answerNewest(1, version(1));
        store.fail();
        store.advance(OUTAGE_MILLIS);
    }

    /** Guards against a withdrawn key that is in use again because a configuration counts as the newest one too early. */
    @Nested
    final class Age {
        @Test
        void testVersionsBeforeTheEndOfTheLogDoNotConfirmTheOneInForce() {
            store.answerKeyedRecords(9, versions(2, 4));
            assertEquals(OUTAGE_MILLIS, configuration.ageMillis());
            store.answerKeyedRecords(9, versions(5, 7));
            assertEquals(OUTAGE_MILLIS, configuration.ageMillis());
            store.answerKeyedRecords(9, versions(8, 9));

            assertEquals(0, configuration.ageMillis());
            assertEquals(9, versionInForce());
        }

        @Test
        void testOtherRecordsBeforeTheEndOfTheLogDoNotConfirmTheOneInForce() {
            store.answerRecordsOfLog(3, "evacuate/a");

            assertEquals(OUTAGE_MILLIS, configuration.ageMillis());
        }
    }

    /** Guards against a recovery that takes longer because versions are decoded that others have overtaken. */
    @Nested
    final class Deferral {
        @Test
        void testVersionsThatAreOvertakenAreNotApplied() {
            store.answerKeyedRecords(10, versions(2, 4));
            store.answerKeyedRecords(10, versions(5, 7));
            store.answerKeyedRecords(10, versions(8, 10));

            assertEquals(List.of("version 1", "version 10"), applied());
        }

        /** Guards against decoding a whole backlog because a peer has sent its last version already. */
        @Test
        void testVersionsBeforeTheOneThatAPeerSentAreNotDecoded() {
            store.answerKeyedRecords(5, versions(2, 3));
            byte[] copy = version(5).value();
            assertNotNull(copy);
            configuration.onPeerConfiguration(copy);
            store.answerKeyedRecords(5, record("{"), version(5));

            assertEquals(0, configuration.ageMillis());
            assertTrue(store.events.stream().noneMatch(event -> event.kind() == ControlEventKind.RECORD_REJECTED));
        }

        @Test
        void testAVersionBeforeOtherRecordsIsAppliedAtTheEndOfTheLog() {
            store.answerKeyedRecords(4, versions(2, 3));
            store.answerRecordsOfLog(4, "evacuate/a");

            assertEquals(3, versionInForce());
            assertEquals(0, configuration.ageMillis());
        }

        @Test
        void testAVersionIsAppliedAfterALimitedTimeAlthoughTheReadsFail() {
            store.answerKeyedRecords(9, versions(2, 4));
            store.fail();
            store.advance(250);

            assertEquals(4, versionInForce());
            assertTrue(configuration.ageMillis() >= OUTAGE_MILLIS);
        }

        @Test
        void testAValidVersionIsAppliedAlthoughTheNewestOneIsNot() {
            store.answerKeyedRecords(5, versions(2, 3));
            store.answerKeyedRecords(5, record("{"), record("{}"));

            assertEquals(3, versionInForce());
        }

        @Test
        void testAVersionOfTheOldEraIsNotLostByARestore() {
            store.answerKeyedRecords(9, versions(2, 4));
            store.eras.observe(new StoreEra(1));
            store.eras.observe(new StoreEra(2));
            store.advance(250);

            assertEquals(4, versionInForce());
        }
    }
}
