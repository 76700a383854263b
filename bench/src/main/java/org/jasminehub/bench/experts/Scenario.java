package org.jasminehub.bench.experts;

/** How the load of a group changes during a run. */
enum Scenario {
    /** The experts' popularity changes slowly. */
    DRIFT,
    /** Two experts of each layer are several times as popular in the middle half of the run. */
    BURST,
    /** One rank runs at a fraction of its speed in the middle half of the run. */
    STRAGGLER
}
