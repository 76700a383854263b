package org.jasminehub.bench.experts;

/** What happens to a group's load. */
enum Scenario {
    /** Popularity changes slowly. */
    DRIFT,
    /** Two experts of each layer become several times as popular for a while. */
    BURST,
    /** A rank runs at a fraction of its speed for a while. */
    STRAGGLER
}
