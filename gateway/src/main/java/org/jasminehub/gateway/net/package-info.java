/** HTTP/1.1 connections to callers and endpoints. Everything here runs on the one event loop of the process. */
@NullMarked
package org.jasminehub.gateway.net;

import org.jspecify.annotations.NullMarked;
