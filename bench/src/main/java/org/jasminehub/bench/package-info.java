/** Benchmarks of the load balancer; each subpackage holds one {@code bench} command. */
@NullMarked
package org.jasminehub.bench;

import org.jspecify.annotations.NullMarked;
