/** Prevents orders that were sent under an outdated lease from reaching the endpoint. */
@NullMarked
package org.jasminehub.agent.lease;

import org.jspecify.annotations.NullMarked;
