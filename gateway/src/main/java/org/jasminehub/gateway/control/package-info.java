/** What an instance believes of the platform and how it keeps that up to date. */
@NullMarked
package org.jasminehub.gateway.control;

import org.jspecify.annotations.NullMarked;
