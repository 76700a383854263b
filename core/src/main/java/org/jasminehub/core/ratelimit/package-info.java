/** Rate limits that endpoints state for all instances together, and the permits by which instances share them. */
@NullMarked
package org.jasminehub.core.ratelimit;

import org.jspecify.annotations.NullMarked;
