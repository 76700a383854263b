package org.jasminehub.gateway.call;

import java.util.Optional;

/** A step applied before a call is dispatched; adds to the context or refuses the call. */
@FunctionalInterface
interface CallFilter {
    Optional<Refusal> apply(CallContext context);
}
