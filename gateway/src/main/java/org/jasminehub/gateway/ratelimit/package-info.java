/** Shares the rate limits that endpoints state among all entry instances. */
@NullMarked
package org.jasminehub.gateway.ratelimit;

import org.jspecify.annotations.NullMarked;
