/**
 * The command line. Each sub-command is a class, named after its function; {@link
 * stonespring.cli.Commands} lists them. Names of sub-commands and options, exit codes and the
 * format of standard output are stable.
 */
package stonespring.cli;
