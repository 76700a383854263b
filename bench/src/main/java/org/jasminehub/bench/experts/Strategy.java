package org.jasminehub.bench.experts;

import org.jasminehub.core.experts.ExpertMap;
import org.jasminehub.core.experts.GroupLoad;

/** Chooses the next map from the present one and an estimate of the load. */
@FunctionalInterface
interface Strategy {
    ExpertMap next(ExpertMap map, GroupLoad estimate, int maxMoves);
}
