/** The operators' command line tool: publishes documents, shows versions in force, and exports the audit trail. */
@NullMarked
package org.jasminehub.ctl;

import org.jspecify.annotations.NullMarked;
