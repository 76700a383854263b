/** Connections between the processes of this system. */
@NullMarked
package org.jasminehub.gateway.peer;

import org.jspecify.annotations.NullMarked;
