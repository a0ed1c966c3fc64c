package stonespring.config.script;

/** A function of the language as a value; {@link BuiltinFunctions} has what it does. */
record Builtin(String name) {}
