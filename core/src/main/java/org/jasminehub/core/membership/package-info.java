/** Which instances are live, leaving or gone. */
@NullMarked
package org.jasminehub.core.membership;

import org.jspecify.annotations.NullMarked;
