/** Expert maps with replicas, and the orders that make all ranks of a group switch to a new map at the same step. */
@NullMarked
package org.jasminehub.core.experts.placement;

import org.jspecify.annotations.NullMarked;
