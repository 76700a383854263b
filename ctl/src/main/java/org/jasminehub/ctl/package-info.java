/** The operators' tool: publishes documents, shows what is in force, and keeps the record for auditors. */
@NullMarked
package org.jasminehub.ctl;

import org.jspecify.annotations.NullMarked;
