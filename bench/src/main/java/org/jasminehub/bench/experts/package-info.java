/** Measures the gain and the cost of moving experts between ranks. */
@NullMarked
package org.jasminehub.bench.experts;

import org.jspecify.annotations.NullMarked;
