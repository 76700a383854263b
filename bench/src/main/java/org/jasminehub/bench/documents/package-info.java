/** Measures what documents cost and works out how fast changes spread. */
@NullMarked
package org.jasminehub.bench.documents;

import org.jspecify.annotations.NullMarked;
