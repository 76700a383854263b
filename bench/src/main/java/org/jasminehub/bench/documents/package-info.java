/** Measures the cost of documents and calculates how fast a change reaches all instances. */
@NullMarked
package org.jasminehub.bench.documents;

import org.jspecify.annotations.NullMarked;
