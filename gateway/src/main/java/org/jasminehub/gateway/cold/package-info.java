/** Cold endpoints in an entry instance: what it learns about them, and what it may send to them. */
@NullMarked
package org.jasminehub.gateway.cold;

import org.jspecify.annotations.NullMarked;
