/** The binary {@code jasminehub}: command line, wiring of processes, and the demo. */
@NullMarked
package org.jasminehub.app;

import org.jspecify.annotations.NullMarked;
