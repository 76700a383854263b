/** Measures what moving experts gains and costs. */
@NullMarked
package org.jasminehub.bench.experts;

import org.jspecify.annotations.NullMarked;
