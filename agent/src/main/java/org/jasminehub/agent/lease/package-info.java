/** Keeps orders under outdated leases away from the endpoint. */
@NullMarked
package org.jasminehub.agent.lease;

import org.jspecify.annotations.NullMarked;
