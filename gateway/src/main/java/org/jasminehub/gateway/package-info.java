/** The programs that run on the hosting platform: {@code entry} and {@code rank-agent}. */
@NullMarked
package org.jasminehub.gateway;

import org.jspecify.annotations.NullMarked;
