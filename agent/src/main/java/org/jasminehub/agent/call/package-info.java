/** Calls from entry instances, and the filters that process them before they are sent to the endpoint. */
@NullMarked
package org.jasminehub.agent.call;

import org.jspecify.annotations.NullMarked;
