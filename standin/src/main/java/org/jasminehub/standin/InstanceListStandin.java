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
 * The platform's list of instances, which tests can freeze to simulate a list that lags behind.
 *
 * <p>Thread-safe.
 */
public final class InstanceListStandin implements AutoCloseable {
    private final StandinServer server;
    private final Map<InstanceId, Member> members = new TreeMap<>();
    private List<MemberJson> published = List.of();
    private boolean frozen;
    private boolean down;
    private long reads;

    /** Starts an empty list on {@code port}; port 0 selects a free one. */
    public InstanceListStandin(ClassicActorSystemProvider system, int port) {
        this.server = StandinServer.start(system, port, this::handle);
    }

    /** Returns the address on which the server listens. */
    public Address address() {
        return server.address();
    }

    /** Adds {@code member}, or replaces the member with the same name. */
    public synchronized void put(Member member) {
        members.put(member.id(), member);
        refresh();
    }

    /** Removes the member named {@code id}. */
    public synchronized void remove(InstanceId id) {
        members.remove(id);
        refresh();
    }

    /** Freezes the published list, or publishes the actual members again. */
    public synchronized void freeze(boolean isFrozen) {
        frozen = isFrozen;
        refresh();
    }

    /** Publishes an empty list until the list changes. */
    public synchronized void showEmptyList() {
        published = List.of();
    }

    /** Starts or ends an outage. */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
    }

    /** Returns the number of times that the list was read. */
    public synchronized long reads() {
        return reads;
    }

    @Override
    public void close() {
        server.close();
    }

    private void refresh() {
        if (!frozen) {
            published = members.values().stream().map(MemberJson::of).toList();
        }
    }

    private synchronized CompletionStage<HttpResponse> handle(HttpRequest request) {
        reads++;
        HttpResponse response = down
                ? StandinServer.status(StandinServer.STATUS_UNAVAILABLE)
                : StandinServer.json(StandinServer.STATUS_OK, new InstancesJson(published));
        return CompletableFuture.completedFuture(response);
    }
}
