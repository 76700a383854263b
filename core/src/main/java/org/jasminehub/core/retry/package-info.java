/** Whether a request that failed is sent again, and which endpoints are left out for a while. */
@NullMarked
package org.jasminehub.core.retry;

import org.jspecify.annotations.NullMarked;
