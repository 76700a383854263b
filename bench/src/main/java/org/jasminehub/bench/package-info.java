/** Measurement commands, a package each. */
@NullMarked
package org.jasminehub.bench;

import org.jspecify.annotations.NullMarked;
