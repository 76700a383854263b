package org.jasminehub.gateway.control;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.era.StoreEra;
import org.jasminehub.core.evacuation.EvacuationState;
import org.jasminehub.core.evacuation.Evacuations;
import org.jasminehub.core.evacuation.LogPosition;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.hosted.EvacuationRecordAdapter;
import org.jasminehub.platform.hosted.KeyedRecord;
import org.jasminehub.platform.hosted.LogSlice;
import org.jasminehub.platform.hosted.RecordRejectedException;
import org.jasminehub.wire.generated.DomainEvacuation;
import org.jasminehub.wire.generated.PeerStatus;
import org.jspecify.annotations.Nullable;

/**
 * Stops new calls to the endpoints of failure domains that the operator evacuates.
 *
 * <p>Evacuations are read together with the configuration and exchanged with peers. They affect calls only; the engines of
 * an evacuated domain still take part in their groups.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class EvacuationController implements PeerExtension, OperatorLogListener {
    private static final String OPERATOR_LOG = "the operator's log";

    /** As many as the log allows for a whole key. */
    private static final int MAX_NAME_LENGTH = 255;

    private final EraTracker eras;
    private final Clock clock;
    private final EventSink events;
    private final Evacuations evacuations;
    private final Map<FailureDomain, Long> lastWriteMillis = new HashMap<>();
    /** Evacuated domains that were not compared with the registered endpoints yet. */
    private final Set<FailureDomain> unmatched = new HashSet<>();

    /** The peers whose latest status with evacuations was malformed; they repeat it several times a second. */
    private final Set<String> rejectedPeers = new HashSet<>();

    private @Nullable EndpointController endpoints;
    private long withheld;

    /** Creates a controller that knows no evacuations. */
    public EvacuationController(EraTracker eras, Clock clock, EventSink events) {
        this.eras = eras;
        this.clock = clock;
        this.events = events;
        this.evacuations = new Evacuations(clock);
    }

    /**
     * Starts to apply evacuations to {@code affected} and to exchange them with peers.
     *
     * @param addToPeers adds this controller to the users of the connections between instances
     */
    public void start(EndpointController affected, Consumer<PeerExtension> addToPeers) {
        endpoints = affected;
        addToPeers.accept(this);
    }

    /** Registers the number of evacuated domains, and of the requests held back right before they were written. */
    public void register(MetricRegistry metrics) {
        metrics.register("domains.evacuated", (Gauge<Integer>)
                () -> evacuations.evacuated().size());
        metrics.register("domains.evacuated.withheld", (Gauge<Long>) () -> withheld);
    }

    /** Returns whether the endpoints of {@code domain} get no new calls. */
    public boolean isEvacuated(FailureDomain domain) {
        return evacuations.isEvacuated(domain);
    }

    /** Called right before a call is written to an endpoint of {@code domain}. */
    void onWrite(FailureDomain domain) {
        lastWriteMillis.put(domain, clock.monotonicMillis());
    }

    /** Called when a call was not written to an endpoint of {@code domain}, for whatever reason. */
    void onWithheld(FailureDomain domain) {
        if (isEvacuated(domain)) {
            withheld++;
        }
    }

    @Override
    public void onOperatorLog(LogSlice slice, boolean isSnapshot, OptionalLong asOfMillis) {
        StoreEra era = eras.current().orElse(new StoreEra(0));
        Map<FailureDomain, LogPosition> requests = new HashMap<>();
        List<EvacuationState> records = new ArrayList<>();
        for (KeyedRecord record : slice.records()) {
            domain(record).ifPresent(domain -> {
                // A record without a valid offset is in the read, so it is not later than the end of the read.
                long offset = record.offset() >= 0 ? record.offset() : Math.max(0, slice.nextOffset() - 1);
                LogPosition position = new LogPosition(era, offset);
                records.add(new EvacuationState(domain, record.value() != null, position));
                if (record.value() != null) {
                    requests.put(domain, position);
                }
            });
        }
        onChanges(
                isSnapshot
                        ? evacuations.onSnapshot(era, requests, slice.nextOffset(), asOfMillis)
                        : evacuations.onRecords(era, records, slice.nextOffset(), asOfMillis),
                OPERATOR_LOG);
    }

    private Optional<FailureDomain> domain(KeyedRecord record) {
        try {
            return EvacuationRecordAdapter.domain(record);
        } catch (RecordRejectedException e) {
            events.emit(new ControlEvent(
                    ControlEventKind.RECORD_REJECTED, "evacuation", String.valueOf(e.getMessage()), 0));
            return Optional.empty();
        }
    }

    @Override
    public void addTo(PeerStatus.Builder status) {
        evacuations
                .toShare()
                .forEach(state -> status.addEvacuations(DomainEvacuation.newBuilder()
                        .setFailureDomain(state.domain().value())
                        .setIsEvacuated(state.isEvacuated())
                        .setStoreEra(state.position().era().number())
                        .setOffset(state.position().offset())));
    }

    @Override
    public void onPeerStatus(String instance, PeerStatus status) {
        List<EvacuationState> changes = new ArrayList<>();
        int rejected = 0;
        for (DomainEvacuation each : status.getEvacuationsList()) {
            if (!isValid(each, status.getStoreEra())) {
                rejected++;
                continue;
            }
            FailureDomain domain = new FailureDomain(each.getFailureDomain());
            rejected += evacuations.hasRoomFor(domain) ? 0 : 1;
            LogPosition position = new LogPosition(new StoreEra(each.getStoreEra()), each.getOffset());
            evacuations
                    .onPeerState(new EvacuationState(domain, each.getIsEvacuated(), position))
                    .ifPresent(changes::add);
        }
        reject(instance, rejected);
        onChanges(changes, instance);
    }

    /** A peer cannot have read a record in a later era than the newest one that it knows. */
    private static boolean isValid(DomainEvacuation each, long peerEra) {
        return !each.getFailureDomain().isBlank()
                && each.getFailureDomain().length() <= MAX_NAME_LENGTH
                && each.getStoreEra() >= 0
                && each.getStoreEra() <= peerEra
                && each.getOffset() >= 0;
    }

    private void reject(String instance, int rejected) {
        if (rejected == 0) {
            rejectedPeers.remove(instance);
        } else if (rejectedPeers.add(instance)) {
            events.emit(new ControlEvent(
                    ControlEventKind.RECORD_REJECTED,
                    instance,
                    rejected + " evacuations that a peer states are malformed or too many",
                    0));
        }
    }

    private void onChanges(List<EvacuationState> changes, String source) {
        if (changes.isEmpty()) {
            return;
        }
        Set<FailureDomain> begun = new HashSet<>();
        for (EvacuationState change : changes) {
            events.emit(new ControlEvent(
                    change.isEvacuated() ? ControlEventKind.EVACUATION_REQUESTED : ControlEventKind.EVACUATION_ENDED,
                    change.domain().value(),
                    "as of " + change.position() + ", learned from " + source,
                    0));
            if (change.isEvacuated()) {
                begun.add(change.domain());
                emitLastRequest(change.domain());
            }
        }
        unmatched.addAll(begun);
        unmatched.removeIf(domain -> !isEvacuated(domain));
        EndpointController affected = endpoints;
        if (affected != null) {
            affected.onEvacuationsChanged(begun);
        }
    }

    private void emitLastRequest(FailureDomain domain) {
        Long writtenMillis = lastWriteMillis.get(domain);
        long ageMillis = writtenMillis == null ? 0 : clock.monotonicMillis() - writtenMillis;
        events.emit(new ControlEvent(
                ControlEventKind.EVACUATION_LAST_REQUEST,
                domain.value(),
                writtenMillis == null
                        ? "this instance has sent no request"
                        : "the last request was written " + ageMillis + " ms before the evacuation was known",
                ageMillis));
    }

    /** Logs the evacuated domains that no endpoint names, once any endpoint is known. */
    public void onRegistrations(Collection<EndpointRecord> registered) {
        if (registered.isEmpty() || unmatched.isEmpty()) {
            return;
        }
        for (FailureDomain domain : unmatched) {
            if (registered.stream().noneMatch(endpoint -> endpoint.domain().equals(domain))) {
                events.emit(new ControlEvent(
                        ControlEventKind.EVACUATION_UNMATCHED,
                        domain.value(),
                        "none of " + registered.size() + " endpoints names it",
                        0));
            }
        }
        unmatched.clear();
    }
}
