/** The state of the platform as known to an instance, and the components that keep it up to date. */
@NullMarked
package org.jasminehub.gateway.control;

import org.jspecify.annotations.NullMarked;
