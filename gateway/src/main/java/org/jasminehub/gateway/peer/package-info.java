/** Connections between this system's own processes. */
@NullMarked
package org.jasminehub.gateway.peer;

import org.jspecify.annotations.NullMarked;
