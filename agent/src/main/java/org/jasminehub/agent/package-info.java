/**
 * The agent, a process that runs beside each endpoint. Only the agent connects to the endpoint, which is a model engine
 * or a plain service.
 */
@NullMarked
package org.jasminehub.agent;

import org.jspecify.annotations.NullMarked;
