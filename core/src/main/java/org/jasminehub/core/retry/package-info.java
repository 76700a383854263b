/** Retries of failed requests, and outlier detection, which ejects failing endpoints temporarily. */
@NullMarked
package org.jasminehub.core.retry;

import org.jspecify.annotations.NullMarked;
