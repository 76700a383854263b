package org.jasminehub.gateway;

import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/** What the callers of a soak run need to know about it. */
interface SoakLoad {
    boolean isOver();

    /** Returns an instance to connect to; one that is stopping is as likely as any other. */
    SoakGateway pick(SplittableRandom random);

    SoakCall newCall(
            String id, SoakCall.Kind kind, SoakGateway gateway, int eventCount, @Nullable SoakCall pipelinedAfter);
}
