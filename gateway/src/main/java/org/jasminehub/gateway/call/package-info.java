/** The handling of a caller's call, from request to response. */
@NullMarked
package org.jasminehub.gateway.call;

import org.jspecify.annotations.NullMarked;
