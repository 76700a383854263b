/** The whole system in one process on stand-ins, for a first look and for tests. */
@NullMarked
package org.jasminehub.app.demo;

import org.jspecify.annotations.NullMarked;
