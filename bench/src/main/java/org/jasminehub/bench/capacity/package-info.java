/** Measures what members, documents, messages and records cost, for docs/CAPACITY.md. */
@NullMarked
package org.jasminehub.bench.capacity;

import org.jspecify.annotations.NullMarked;
