/** Measures the memory, processor time and bytes per member, document, message and record, for docs/CAPACITY.md. */
@NullMarked
package org.jasminehub.bench.capacity;

import org.jspecify.annotations.NullMarked;
