/** Sends calls to the endpoint and relays its responses. */
@NullMarked
package org.jasminehub.agent.engine;

import org.jspecify.annotations.NullMarked;
