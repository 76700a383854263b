package org.jasminehub.entry.http;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.ActorSystem;
import org.jasminehub.core.address.AddressPolicy;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.EntrySettings;
import org.jasminehub.entry.control.ControlState;
import org.jasminehub.entry.filter.RequestHandler;
import org.jasminehub.entry.filter.RequestMatcher;
import org.jasminehub.entry.filter.operation.OperationKeyPage;

/** Starts the HTTP server and registers its pages. Thread-safe. */
public final class CallerServerFactory {
    private final ActorSystem<?> system;
    private final EntrySettings settings;
    private final AddressPolicy addresses;
    private final Supplier<ControlState> state;
    private final Supplier<RequestId> ids;
    private final Clock clock;
    private final EventSink events;

    /** Creates a factory; {@code ids} supplies a unique id for each request. */
    public CallerServerFactory(
            ActorSystem<?> system,
            EntrySettings settings,
            AddressPolicy addresses,
            Supplier<ControlState> state,
            Supplier<RequestId> ids,
            Clock clock,
            EventSink events) {
        this.system = system;
        this.settings = settings;
        this.addresses = addresses;
        this.state = state;
        this.ids = ids;
        this.clock = clock;
        this.events = events;
    }

    /**
     * Starts a server.
     *
     * @param chain handles the requests of callers
     * @param operationKeys the page that issues operation keys
     * @param isLeaving whether this instance is leaving; its address is then omitted from the address page
     */
    public CallerServer start(RequestHandler chain, OperationKeyPage operationKeys, BooleanSupplier isLeaving) {
        AddressPage addressPage = new AddressPage(state, addresses, settings, isLeaving);
        StatusPage statusPage = new StatusPage(settings.instance(), state);
        return new CallerServer(
                system,
                settings.host(),
                settings.callerPort(),
                new RequestReader(clock, ids),
                new RequestMatcher(state),
                chain,
                Map.of(
                        "/v1/addresses",
                        addressPage::handle,
                        "/v1/status",
                        statusPage::handle,
                        "/v1/operation-keys",
                        operationKeys::handle),
                events,
                settings.maxBodyBytes());
    }
}
