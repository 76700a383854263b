/** Call-level decisions of a gateway: endpoint selection, retries, queueing and load limits. Performs no I/O. */
@NullMarked
package org.jasminehub.core.balance;

import org.jspecify.annotations.NullMarked;
