package stonespring.config.script;

/**
 * The value of a name that refers to a built-in function, which {@link BuiltinFunctions}
 * implements.
 */
record Builtin(String name) {}
