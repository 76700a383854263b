package org.jasminehub.standin;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.platform.http.Address;
import org.jasminehub.platform.list.HttpInstanceListService.InstancesJson;
import org.jasminehub.platform.list.MemberJson;

/**
 * The platform's list of instances; it lags for as long as it is held.
 *
 * <p>Safe for use by several threads.
 */
public final class InstanceListStandin implements AutoCloseable {
    private final StandinServer server;
    private final Map<InstanceId, Member> truth = new TreeMap<>();
    private List<MemberJson> shown = List.of();
    private boolean held;
    private boolean down;
    private long reads;

    /** Starts an empty list on {@code port}; port 0 takes a free one. */
    public InstanceListStandin(ClassicActorSystemProvider system, int port) {
        this.server = StandinServer.start(system, port, this::handle);
    }

    /** Returns where it listens. */
    public Address address() {
        return server.address();
    }

    /** Adds {@code member} or replaces the one of the same name. */
    public synchronized void put(Member member) {
        truth.put(member.id(), member);
        refresh();
    }

    /** Removes the member named {@code id}. */
    public synchronized void remove(InstanceId id) {
        truth.remove(id);
        refresh();
    }

    /** Holds the list as it is shown, or shows the truth again. */
    public synchronized void hold(boolean isHeld) {
        held = isHeld;
        refresh();
    }

    /** Shows no instance at all until the list changes. */
    public synchronized void showNothing() {
        shown = List.of();
    }

    /** Starts or ends an outage. */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    /** Returns how often it was asked. */
    public synchronized long reads() {
        return reads;
    }

    @Override
    public void close() {
        server.close();
    }

    private void refresh() {
        if (!held) {
            shown = truth.values().stream().map(MemberJson::of).toList();
        }
    }

    private synchronized CompletionStage<HttpResponse> handle(HttpRequest request) {
        reads++;
        HttpResponse response = down
                ? StandinServer.status(StandinServer.STATUS_UNAVAILABLE)
                : StandinServer.json(StandinServer.STATUS_OK, new InstancesJson(shown));
        return CompletableFuture.completedFuture(response);
    }
}
