package org.jasminehub.gateway;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.serving.CallerLimits;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.gateway.call.CallDispatcher;
import org.jasminehub.gateway.control.ConfigurationController;
import org.jasminehub.gateway.net.CallerHandler;
import org.jasminehub.gateway.net.CallerServer;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.ServerResources;

/** The listeners of an entry instance and the calls that they have accepted. */
final class EntryTraffic implements StopTarget {
    private final EventLoop loop;
    private final Supplier<CallerLimits> limits;
    private final MalformedRequestLog malformed;
    private final CallDispatcher calls;
    private final ClientResources resources;
    private final CallerServer callers;
    private final List<CallerServer> others = new ArrayList<>();

    /** Listens for calls at {@code callerAddress}; all listeners share {@code resources}. */
    EntryTraffic(
            EventLoop loop,
            ConfigurationController configuration,
            EventSink events,
            CallDispatcher calls,
            ClientResources resources,
            String callerAddress,
            CallerHandler handler) {
        this.loop = loop;
        this.limits = () -> configuration.inForce().map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
        this.malformed = new MalformedRequestLog(events, configuration);
        this.calls = calls;
        this.resources = resources;
        this.callers = start(callerAddress, resources.forCallers(), handler);
    }

    private CallerServer start(String address, ServerResources allowed, CallerHandler handler) {
        return CallerServer.start(
                loop, EndpointAddress.parse(address), limits, allowed, handler, malformed::onMalformed);
    }

    /** Listens for address look-ups of callers, readiness probes and requests for metrics. */
    void listenForOthers(GatewaySettings settings, CallerHandler directory, CallerHandler metrics) {
        String metricsAddress = EndpointAddress.parse(settings.peerAddress()).host() + ":" + settings.metricsPort();
        others.add(start(settings.readinessAddress(), resources.forOperations(), directory));
        others.add(start(settings.directoryAddress(), resources.forDirectory(), directory));
        others.add(start(metricsAddress, resources.forOperations(), metrics));
    }

    /** Returns the port that callers connect to. */
    int callerPort() {
        return callers.port();
    }

    /** Returns how many connections were closed because their listener had too many. */
    long connectionsOverLimit() {
        return callers.connectionsOverLimit()
                + others.stream().mapToLong(CallerServer::connectionsOverLimit).sum();
    }

    /** Makes every response whose head is not sent yet the last one on its connection. */
    void disableKeepAlive() {
        callers.disableKeepAlive();
    }

    @Override
    public int connections() {
        return callers.connections();
    }

    @Override
    public int openCalls() {
        return calls.openCalls();
    }

    @Override
    public int unansweredConnections() {
        return callers.unansweredConnections();
    }

    @Override
    public void closeIdle() {
        callers.closeIdle();
    }

    @Override
    public void stopListening() {
        callers.stopListening();
    }

    @Override
    public void endOpenCalls() {
        calls.endOpenCalls();
    }

    @Override
    public void closeAnswered() {
        callers.closeAnswered();
    }

    @Override
    public void closeAll() {
        callers.close();
        others.forEach(CallerServer::close);
    }
}
