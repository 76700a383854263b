/** The protocol that changes the expert map of a group such that all ranks run every step on the same map. */
@NullMarked
package org.jasminehub.core.experts.change;

import org.jspecify.annotations.NullMarked;
