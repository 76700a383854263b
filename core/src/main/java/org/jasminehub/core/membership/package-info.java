/** Membership: the instances of the system, their state and the detection of failures. */
@NullMarked
package org.jasminehub.core.membership;

import org.jspecify.annotations.NullMarked;
