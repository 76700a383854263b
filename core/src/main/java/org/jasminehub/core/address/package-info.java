/** Which entry instances a workspace's callers connect to. */
@NullMarked
package org.jasminehub.core.address;

import org.jspecify.annotations.NullMarked;
