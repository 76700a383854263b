/** Decisions of a gateway on a call: which endpoint, when to repeat, when to give up. No input and output. */
@NullMarked
package org.jasminehub.core.balance;

import org.jspecify.annotations.NullMarked;
