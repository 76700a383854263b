package org.jasminehub.gateway.experts;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jasminehub.core.serving.CallerLimits;
import org.jasminehub.gateway.net.CallerExchange;
import org.jasminehub.gateway.net.CallerRequest;
import org.jasminehub.gateway.net.CallerResponse;
import org.jasminehub.gateway.net.CallerServer;
import org.jasminehub.gateway.net.EndpointAddress;

/** Simulates the engines of one group, which run in lockstep, each behind its own HTTP server; one layer of experts. */
final class GroupStandin {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long PASS_MILLIS = 10;
    /** Number of times that each pass chooses the hot expert on every rank; other experts are chosen once. */
    private static final int CHOICES_PER_PASS = 40;

    /** The state of one rank. */
    private static final class Rank {
        private long map;
        private long newest;
        private long prepared;
        private long armed;
        private long armedStep;
        private long held;
        private Set<Integer> experts = new HashSet<>();
        private Set<Integer> preparedExperts = new HashSet<>();
        private long[] counts = new long[0];
    }

    private final EventLoop loop;
    private final List<Rank> ranks = new ArrayList<>();
    private final List<CallerServer> servers = new ArrayList<>();
    private final int hotExpert;
    private long step = 1;
    private int unansweredOrders;
    private int leavingRank = -1;
    private final int[] requests;
    private boolean hasMixedMaps;

    /** Starts a group whose requests choose {@code hotExpert} most of the time. */
    GroupStandin(EventLoop loop, int size, int experts, int hotExpert) {
        this.loop = loop;
        this.hotExpert = hotExpert;
        this.requests = new int[size];
        for (int index = 0; index < size; index++) {
            Rank rank = new Rank();
            rank.counts = new long[experts];
            for (int expert = index; expert < experts; expert += size) {
                rank.experts.add(expert);
            }
            ranks.add(rank);
            int number = index;
            servers.add(CallerServer.start(
                    loop,
                    new EndpointAddress("127.0.0.1", 0),
                    () -> CallerLimits.DEFAULT,
                    (request, response) -> handle(number, request, response),
                    (status, reason) -> {}));
        }
        loop.scheduleAtFixedRate(this::pass, PASS_MILLIS, PASS_MILLIS, TimeUnit.MILLISECONDS);
    }

    EndpointAddress address(int rank) {
        return new EndpointAddress("127.0.0.1", servers.get(rank).port());
    }

    /** Executes the next {@code orders} orders without sending responses. */
    synchronized void dropResponses(int orders) {
        unansweredOrders = orders;
    }

    /** Returns the number of requests that {@code rank} has received. */
    synchronized int requests(int rank) {
        return requests[rank];
    }

    /** Adds the announcement of a shutdown to all responses of {@code rank}. */
    synchronized void announceLeaving(int rank) {
        leavingRank = rank;
    }

    /** Holds the step after the next, which simulates a coordinator that stopped before it released the step. */
    synchronized void holdNextStep() {
        ranks.get(0).held = step + 2;
    }

    synchronized boolean hasMixedMaps() {
        return hasMixedMaps;
    }

    synchronized long versionInUse() {
        return ranks.get(0).map;
    }

    synchronized long ranksWith(int expert) {
        return ranks.stream().filter(rank -> rank.experts.contains(expert)).count();
    }

    synchronized boolean isHeld() {
        return ranks.stream().anyMatch(rank -> rank.held > 0);
    }

    private synchronized void pass() {
        if (ranks.stream().anyMatch(rank -> rank.held == step + 1)) {
            return;
        }
        step++;
        for (Rank rank : ranks) {
            if (rank.armed > 0 && rank.armedStep == step) {
                rank.map = rank.armed;
                rank.experts = rank.preparedExperts;
                rank.armed = 0;
            }
            Arrays.setAll(rank.counts, expert -> rank.counts[expert] + (expert == hotExpert ? CHOICES_PER_PASS : 1));
        }
        hasMixedMaps |= ranks.stream().map(rank -> rank.map).distinct().count() > 1;
    }

    private synchronized CallerExchange handle(int number, CallerRequest request, CallerResponse response) {
        Rank rank = ranks.get(number);
        requests[number]++;
        HttpHeaders headers = new DefaultHttpHeaders(false);
        if (number == leavingRank) {
            headers.set("Server-Leaving", "1");
        }
        if (request.path().equals("/report")) {
            respond(response, headers, HttpResponseStatus.OK, report(number));
        } else if (request.uri().equals("/picked")) {
            respond(response, headers, HttpResponseStatus.OK, "{\"counts\":" + Arrays.toString(rank.counts) + "}");
        } else if (request.path().equals("/picked")) {
            respond(
                    response,
                    headers,
                    HttpResponseStatus.OK,
                    "{\"map\":{\"version\":" + rank.map + ",\"experts\":[" + rank.experts + "]}}");
        } else {
            boolean isAccepted = apply(rank, parse(request.body().toByteArray()));
            if (unansweredOrders > 0) {
                unansweredOrders--;
            } else {
                respond(response, headers, isAccepted ? HttpResponseStatus.OK : HttpResponseStatus.CONFLICT, "");
            }
        }
        return CallerExchange.COMPLETED;
    }

    private String report(int number) {
        Rank rank = ranks.get(number);
        return "{\"group\":{\"name\":\"g\",\"epoch\":1,\"rank\":" + number + ",\"state\":\"open\"},\"size\":"
                + ranks.size() + ",\"born\":1,\"pace\":1.0,\"step\":" + step + ",\"map\":" + rank.map
                + ",\"prepared\":" + (rank.prepared == 0 ? "null" : rank.prepared) + ",\"armed\":"
                + (rank.armed == 0 ? "null" : "{\"version\":" + rank.armed + ",\"step\":" + rank.armedStep + "}")
                + ",\"held\":" + (rank.held == 0 ? "null" : rank.held) + "}";
    }

    private boolean apply(Rank rank, JsonNode order) {
        long version = order.path("version").asLong();
        long target = order.path("step").asLong();
        return switch (order.path("operation").asText()) {
            case "prepare" -> prepare(rank, version, order);
            case "arm" -> arm(rank, version, target);
            case "hold" -> {
                boolean isFree = rank.held == 0 && target > step;
                rank.held = isFree ? target : rank.held;
                yield isFree;
            }
            case "go" -> {
                rank.held = rank.held == target ? 0 : rank.held;
                yield true;
            }
            default -> false;
        };
    }

    private boolean prepare(Rank rank, long version, JsonNode order) {
        if (version <= rank.newest || rank.armed > 0) {
            return false;
        }
        rank.newest = version;
        rank.prepared = version;
        rank.preparedExperts = new HashSet<>();
        order.path("map").path(0).path(ranks.indexOf(rank)).forEach(expert -> rank.preparedExperts.add(expert.asInt()));
        return true;
    }

    private boolean arm(Rank rank, long version, long target) {
        if (rank.prepared != version || target <= step) {
            return false;
        }
        rank.armed = version;
        rank.armedStep = target;
        return true;
    }

    private static JsonNode parse(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void respond(CallerResponse response, HttpHeaders headers, HttpResponseStatus status, String body) {
        byte[] bytes = (body.isEmpty() ? "{}" : body).getBytes(StandardCharsets.UTF_8);
        loop.execute(() -> response.complete(status, headers, bytes));
    }
}
