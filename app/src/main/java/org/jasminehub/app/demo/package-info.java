/** The complete system with stand-ins in one process, for demonstration and tests. */
@NullMarked
package org.jasminehub.app.demo;

import org.jspecify.annotations.NullMarked;
