/** Measures the cost of running operations at most once. */
@NullMarked
package org.jasminehub.bench.operation;

import org.jspecify.annotations.NullMarked;
