/** The document history: decides the records of the log, schedules snapshots and repairs gaps from peers. */
@NullMarked
package org.jasminehub.core.history;

import org.jspecify.annotations.NullMarked;
