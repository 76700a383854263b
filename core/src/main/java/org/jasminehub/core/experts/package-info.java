/** Placement of experts on the ranks of a group, and planning of worthwhile moves. */
@NullMarked
package org.jasminehub.core.experts;

import org.jspecify.annotations.NullMarked;
