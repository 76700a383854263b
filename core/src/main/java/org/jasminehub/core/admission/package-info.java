/** Admission control at an agent: which requests its endpoint runs, in which order, and which are refused. */
@NullMarked
package org.jasminehub.core.admission;

import org.jspecify.annotations.NullMarked;
