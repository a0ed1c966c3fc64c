/**
 * The language of settings scripts, a small subset of Starlark: lexer, parser and evaluator. A
 * script has no unbounded loops, no recursion, and no access to the clock, to random numbers or to
 * files, except that it can load scripts of its own folder. The number of steps, the nesting depth
 * and the sizes of values are bounded. No class is thread-safe: all are confined to the thread that
 * runs the script.
 */
package stonespring.config.script;
