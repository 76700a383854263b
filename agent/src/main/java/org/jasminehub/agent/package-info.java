/** The process beside each endpoint: the only one that talks to a model engine or plain service. */
@NullMarked
package org.jasminehub.agent;

import org.jspecify.annotations.NullMarked;
