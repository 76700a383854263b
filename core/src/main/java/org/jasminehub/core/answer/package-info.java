/** Assembles responses from frames, so that each caller gets a complete response or an error. */
@NullMarked
package org.jasminehub.core.answer;

import org.jspecify.annotations.NullMarked;
