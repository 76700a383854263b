/** Which instance holds the lease of each shard of control work, and which orders an agent takes. */
@NullMarked
package org.jasminehub.core.lease;

import org.jspecify.annotations.NullMarked;
