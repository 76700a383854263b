/** Sending calls to the endpoint and relaying its answers. */
@NullMarked
package org.jasminehub.agent.engine;

import org.jspecify.annotations.NullMarked;
