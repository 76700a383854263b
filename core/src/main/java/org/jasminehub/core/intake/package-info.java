/** Bounds on what clients can make a process hold: memory, connections and bytes that are read only to be discarded. */
@NullMarked
package org.jasminehub.core.intake;

import org.jspecify.annotations.NullMarked;
