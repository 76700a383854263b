package org.jasminehub.gateway.call;

import java.util.Optional;

/** One step before a call is placed: adds to the context or refuses the call. */
@FunctionalInterface
interface CallFilter {
    Optional<Refusal> apply(CallContext context);
}
