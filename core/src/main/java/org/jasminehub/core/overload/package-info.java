/** Decisions about scarce slots of a service that follow the queues of all entry instances. Performs no I/O. */
@NullMarked
package org.jasminehub.core.overload;

import org.jspecify.annotations.NullMarked;
