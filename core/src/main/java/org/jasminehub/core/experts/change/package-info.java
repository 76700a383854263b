/** Changes of a group's expert map such that every step runs on one map in all ranks. */
@NullMarked
package org.jasminehub.core.experts.change;

import org.jspecify.annotations.NullMarked;
