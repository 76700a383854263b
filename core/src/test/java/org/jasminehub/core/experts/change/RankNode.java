package org.jasminehub.core.experts.change;

import java.util.HashSet;
import java.util.Set;

/**
 * One rank of a modelled group and all messages in flight to and from it. A message can be delivered any number of
 * times.
 */
record RankNode(RankState rank, boolean begun, Set<RankOrder> orders, Set<RankReply> replies) {
    static RankNode started(long incarnation) {
        RankState rank = RankMachine.loaded(RankState.started(incarnation), Long.MAX_VALUE);
        return new RankNode(rank, false, Set.of(), Set.of());
    }

    RankNode withRank(RankState newRank, boolean newBegun) {
        return new RankNode(newRank, newBegun, orders, replies);
    }

    RankNode withOrder(RankOrder order) {
        return new RankNode(rank, begun, plus(orders, order), replies);
    }

    RankNode withReply(RankReply reply) {
        return new RankNode(rank, begun, orders, plus(replies, reply));
    }

    RankNode withMessages(Set<RankOrder> newOrders, Set<RankReply> newReplies) {
        return new RankNode(rank, begun, newOrders, newReplies);
    }

    static <T> Set<T> plus(Set<T> set, T element) {
        if (set.contains(element)) {
            return set;
        }
        Set<T> larger = new HashSet<>(set);
        larger.add(element);
        return larger;
    }
}
