/** Expert maps with replicas, and the orders by which all ranks of a group take a new one at the same step. */
@NullMarked
package org.jasminehub.core.experts.placement;

import org.jspecify.annotations.NullMarked;
