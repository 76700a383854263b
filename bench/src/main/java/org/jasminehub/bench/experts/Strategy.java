package org.jasminehub.bench.experts;

import org.jasminehub.core.experts.ExpertMap;
import org.jasminehub.core.experts.GroupLoad;

/** Chooses the next expert map from the current map and an estimate of the load. */
@FunctionalInterface
interface Strategy {
    /** Returns the next map; a strategy that respects the move budget changes at most {@code maxMoves} experts. */
    ExpertMap next(ExpertMap map, GroupLoad estimate, int maxMoves);
}
