/** The program {@code jasminehub}: its command line, the setup of its processes, and the demo. */
@NullMarked
package org.jasminehub.app;

import org.jspecify.annotations.NullMarked;
