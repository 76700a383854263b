/** Leases that give one instance at a time control of a shard, and fencing of the orders sent to agents. */
@NullMarked
package org.jasminehub.core.lease;

import org.jspecify.annotations.NullMarked;
