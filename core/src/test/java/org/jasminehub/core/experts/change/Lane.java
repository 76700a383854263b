package org.jasminehub.core.experts.change;

import java.util.HashSet;
import java.util.Set;

/** One rank of a modelled group with everything on its way to or from it; a message stays deliverable for ever. */
record Lane(RankState rank, boolean begun, Set<RankOrder> orders, Set<RankReply> replies) {
    static Lane started(long incarnation) {
        RankState rank = RankMachine.loaded(RankState.started(incarnation), Long.MAX_VALUE);
        return new Lane(rank, false, Set.of(), Set.of());
    }

    Lane withRank(RankState newRank, boolean newBegun) {
        return new Lane(newRank, newBegun, orders, replies);
    }

    Lane withOrder(RankOrder order) {
        return new Lane(rank, begun, plus(orders, order), replies);
    }

    Lane withReply(RankReply reply) {
        return new Lane(rank, begun, orders, plus(replies, reply));
    }

    Lane withMessages(Set<RankOrder> newOrders, Set<RankReply> newReplies) {
        return new Lane(rank, begun, newOrders, newReplies);
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
