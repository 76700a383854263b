/** A caller's call from its request to its answer. */
@NullMarked
package org.jasminehub.gateway.call;

import org.jspecify.annotations.NullMarked;
