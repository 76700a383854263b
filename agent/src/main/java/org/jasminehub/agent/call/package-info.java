/** Calls from entry instances and the filters they pass before they reach the endpoint. */
@NullMarked
package org.jasminehub.agent.call;

import org.jspecify.annotations.NullMarked;
