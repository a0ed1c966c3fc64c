package stonespring.config.script;

/** A built-in function as a value; {@link BuiltinFunctions} implements it. */
record Builtin(String name) {}
