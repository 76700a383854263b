/** Policies that choose the endpoint for a request, and the state they are based on. */
@NullMarked
package org.jasminehub.core.routing;

import org.jspecify.annotations.NullMarked;
