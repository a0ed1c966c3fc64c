/**
 * The command line: a class for each sub-command, named for what it does; {@link
 * stonespring.cli.Commands} lists them. Names of sub-commands and options, exit codes and the form
 * of what is printed to standard output are stable.
 */
package stonespring.cli;
