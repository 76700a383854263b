package org.jasminehub.app;

import com.beust.jcommander.Parameter;

/** One command of the command line; its parameters are filled in before it runs. */
abstract class Command {
    @Parameter(names = "--help", help = true, description = "shows this help")
    private boolean help;

    final boolean isHelpWanted() {
        return help;
    }

    /** Runs the command and returns the exit code. */
    abstract int run();
}
