/** Small stand-ins of the platform, model engines and plain services; they serve tests and the demo only. */
@NullMarked
package org.jasminehub.standin;

import org.jspecify.annotations.NullMarked;
