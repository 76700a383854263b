/** Simple replacements for the platform, model engines and other services, for tests and the demo only. */
@NullMarked
package org.jasminehub.standin;

import org.jspecify.annotations.NullMarked;
