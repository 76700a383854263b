/** Admission of calls before they reach the endpoint. */
@NullMarked
package org.jasminehub.agent.admission;

import org.jspecify.annotations.NullMarked;
