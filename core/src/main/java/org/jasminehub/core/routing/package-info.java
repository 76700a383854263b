/** The choice of an endpoint for a request. */
@NullMarked
package org.jasminehub.core.routing;

import org.jspecify.annotations.NullMarked;
