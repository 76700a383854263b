package org.jasminehub.entry.control.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jasminehub.core.document.DocumentInForce;
import org.jasminehub.core.event.Event;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.membership.MemberRole;
import org.jasminehub.core.membership.MemberState;
import org.jasminehub.core.time.ManualClock;
import org.jasminehub.platform.PlatformException;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.RecordsReply;
import org.jasminehub.wire.generated.RecordsRequest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class DocumentControllerTest {
    private static final long RETENTION_MILLIS = 3_600_000;
    private static final long EVIDENCE_MILLIS = 8_000;

    private final ManualClock clock = new ManualClock(0);
    private final InMemoryLog log = new InMemoryLog();
    private final List<Member> members = new ArrayList<>();
    private final Map<InstanceId, Instance> instances = new LinkedHashMap<>();
    private final Set<InstanceId> unreachable = new HashSet<>();
    private final List<Event> events = new ArrayList<>();

    /** An entry instance: its document controller and the documents that the controller published. */
    private final class Instance {
        private final InstanceId id;
        private final DocumentController controller;
        private List<DocumentInForce> documents = List.of();
        private final List<Long> publishedVersions = new ArrayList<>();
        private boolean serving;

        Instance(int number, int domain) {
            id = new InstanceId("entry-" + number);
            FailureDomain failureDomain = new FailureDomain("domain-" + domain);
            controller = new DocumentController(
                    new DocumentSettings(id, failureDomain, RETENTION_MILLIS),
                    Runnable::run,
                    () -> members,
                    log,
                    DocumentControllerTest.this::requestRecords,
                    () -> id + "-" + log.nextOffset(),
                    clock,
                    events::add,
                    this::onDocuments);
            members.add(new Member(
                    id, MemberRole.ENTRY, MemberState.LIVE, failureDomain, "127.0.0.1", 7000, 8000, List.of()));
            instances.put(id, this);
        }

        private void onDocuments(List<DocumentInForce> inForce, boolean isServing) {
            documents = inForce;
            serving = isServing;
            publishedVersions.add(version());
        }

        long version() {
            return documents.isEmpty() ? -1 : documents.get(0).version();
        }

        Instance refresh() {
            controller.refresh();
            return this;
        }
    }

    private CompletionStage<RecordsReply> requestRecords(Member peer, RecordsRequest request) {
        if (unreachable.contains(peer.id())) {
            return CompletableFuture.failedFuture(new PlatformException("peer", "no answer", null));
        }
        ControlRequest envelope =
                ControlRequest.newBuilder().setRecords(request).build();
        return instances.get(peer.id()).controller.onRequest(envelope).thenApply(ControlReply.Builder::getRecords);
    }

    private void refreshAll() {
        instances.values().forEach(Instance::refresh);
    }

    private boolean wasEmitted(Class<? extends Event> type) {
        return events.stream().anyMatch(type::isInstance);
    }

    @Nested
    final class InForce {
        @Test
        void testPublishedChangeIsInForceWithItsOffset() {
            Instance instance = new Instance(1, 0).refresh();
            long first = log.publishFirst();
            assertEquals(first, instance.refresh().version());
            long second = log.publish(first, 2);
            assertEquals(second, instance.refresh().version());
            assertTrue(instance.serving);
        }

        @Test
        void testLongHistoryPublishesOnlyTheLatestVersion() {
            long version = log.publishFirst();
            for (int change = 0; change < 600; change++) {
                version = log.publish(version, 1);
            }
            Instance instance = new Instance(1, 0).refresh();
            assertEquals(List.of(version), instance.publishedVersions);
        }

        @Test
        void testSameOneOfTwoConcurrentPublishesWinsOnEveryInstance() {
            for (int i = 0; i < 7; i++) {
                new Instance(i, i % 3);
            }
            long first = log.publishFirst();
            long winner = log.publish(first, 2);
            log.publish(first, 3);
            for (int round = 0; round < 3; round++) {
                refreshAll();
            }
            assertTrue(instances.values().stream().allMatch(instance -> instance.version() == winner));
        }

        @Test
        void testChangeReachesAFailureDomainWithTwoReadersOfTheLog() {
            for (int i = 0; i < 20; i++) {
                new Instance(i, 0);
            }
            long first = log.publishFirst();
            for (int round = 0; round < 3; round++) {
                refreshAll();
            }
            int readsBefore = log.reads();
            for (int round = 0; round < 5; round++) {
                refreshAll();
            }
            assertTrue(instances.values().stream().allMatch(instance -> instance.version() == first));
            assertEquals(2 * 5, log.reads() - readsBefore);
        }
    }

    @Nested
    final class LogOutage {
        @Test
        void testDocumentsStayInForceWhilePeersAgree() {
            Instance one = new Instance(1, 0);
            Instance other = new Instance(2, 1);
            long first = log.publishFirst();
            refreshAll();
            log.setDown(true);
            for (int second = 0; second < 60; second++) {
                clock.advanceMillis(1_000);
                refreshAll();
                assertEquals(first, one.version());
                assertTrue(one.serving && other.serving);
            }
        }

        @Test
        void testNewInstanceStartsFromPeers() {
            new Instance(1, 0);
            new Instance(2, 1);
            long first = log.publishFirst();
            refreshAll();
            log.setDown(true);
            clock.advanceMillis(EVIDENCE_MILLIS + 1);
            refreshAll();
            Instance started = new Instance(3, 0).refresh();
            assertEquals(first, started.version());
            assertTrue(started.serving);
        }

        @Test
        void testNewInstanceWithoutPeersServesNothing() {
            new Instance(1, 0);
            log.publishFirst();
            log.setDown(true);
            unreachable.add(new InstanceId("entry-1"));
            Instance started = new Instance(2, 1).refresh();
            assertFalse(started.serving);
            assertEquals(-1, started.version());
        }

        @Test
        void testInstanceWithoutLogAndPeersStopsServingAndKeepsItsDocuments() {
            Instance one = new Instance(1, 0);
            new Instance(2, 1);
            long first = log.publishFirst();
            refreshAll();
            log.setDown(true);
            unreachable.add(new InstanceId("entry-2"));
            clock.advanceMillis(EVIDENCE_MILLIS + 1);
            one.refresh();
            assertFalse(one.serving);
            assertEquals(first, one.version());
            assertTrue(wasEmitted(DocumentEvent.CurrencyChanged.class));
        }

        @Test
        void testOnlyInstanceKeepsServing() {
            Instance one = new Instance(1, 0);
            log.publishFirst();
            one.refresh();
            log.setDown(true);
            clock.advanceMillis(EVIDENCE_MILLIS + 1);
            assertTrue(one.refresh().serving);
        }
    }

    @Nested
    final class Truncation {
        @Test
        void testNothingIsServedBeforeTheEndOfTheLogIsReached() {
            long first = log.publishFirst();
            log.publish(first, 2);
            log.dropBelow(1);
            Instance instance = new Instance(1, 0).refresh();
            assertFalse(instance.serving);
            assertEquals(-1, instance.version());
        }

        @Test
        void testMissedRecordsAreFetchedFromAPeer() {
            Instance one = new Instance(1, 0);
            Instance other = new Instance(2, 1);
            long first = log.publishFirst();
            refreshAll();
            long second = log.publish(first, 2);
            other.refresh();
            log.dropBelow(second + 1);
            assertEquals(second, one.refresh().refresh().version());
            assertTrue(one.serving);
        }

        @Test
        void testNewInstanceWithoutPeersStartsFromTheSnapshot() {
            Instance old = new Instance(1, 0);
            log.publishFirst();
            old.refresh().refresh();
            assertTrue(wasEmitted(DocumentEvent.SnapshotWritten.class));
            long second = log.publish(0, 2);
            log.dropBelow(1);
            members.clear();
            instances.clear();
            assertEquals(second, new Instance(2, 0).refresh().version());
        }
    }

    @Nested
    final class Snapshots {
        @Test
        void testOneInstanceWritesASnapshotAndRenewsItWithinRetention() {
            for (int i = 0; i < 7; i++) {
                new Instance(i, i % 3);
            }
            log.publishFirst();
            refreshAll();
            refreshAll();
            long written = log.nextOffset();
            assertEquals(2, written);
            refreshAll();
            assertEquals(written, log.nextOffset());
            clock.advanceMillis(RETENTION_MILLIS / 4);
            refreshAll();
            refreshAll();
            assertEquals(written + 1, log.nextOffset());
        }

        @Test
        void testEmptyHistoryIsNotWritten() {
            new Instance(1, 0).refresh().refresh();
            assertEquals(0, log.nextOffset());
        }
    }
}
