/** Drains: planned stops of entry instances and agents that complete open requests first. */
@NullMarked
package org.jasminehub.core.drain;

import org.jspecify.annotations.NullMarked;
