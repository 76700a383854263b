/** Putting a request's answer together from frames, so that callers get it whole or are told that it is not. */
@NullMarked
package org.jasminehub.core.answer;

import org.jspecify.annotations.NullMarked;
