/**
 * The language of settings scripts, a small subset of Starlark: lexer, parser and evaluator. A
 * script has no unbounded loops, no recursion, no clock, no random numbers and no files but the
 * neighbours that it loads; steps, nesting and sizes are bounded. All classes are confined to the
 * thread that runs the script.
 */
package stonespring.config.script;
