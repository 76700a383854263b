package org.jasminehub.app;

import com.beust.jcommander.Parameter;

/** A command of the command line; the command line parser sets its parameters before it runs. */
abstract class Command {
    @Parameter(names = "--help", help = true, description = "shows this help")
    private boolean help;

    final boolean isHelpRequested() {
        return help;
    }

    /** Runs the command and returns the exit code. */
    abstract int run();
}
