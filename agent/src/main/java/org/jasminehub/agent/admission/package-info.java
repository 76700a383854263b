/** Admission control of calls before they are sent to the endpoint. */
@NullMarked
package org.jasminehub.agent.admission;

import org.jspecify.annotations.NullMarked;
