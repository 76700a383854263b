/** Which ranks of a group hold which experts, and when moving one pays. */
@NullMarked
package org.jasminehub.core.experts;

import org.jspecify.annotations.NullMarked;
