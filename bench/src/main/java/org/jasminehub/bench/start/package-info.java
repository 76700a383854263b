/** CPU time and classes that a start of the packaged programs needs. */
@NullMarked
package org.jasminehub.bench.start;

import org.jspecify.annotations.NullMarked;
