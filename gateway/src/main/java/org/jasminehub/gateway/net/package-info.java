/** HTTP/1.1 connections to callers and endpoints, which all run on the single event loop of the process. */
@NullMarked
package org.jasminehub.gateway.net;

import org.jspecify.annotations.NullMarked;
