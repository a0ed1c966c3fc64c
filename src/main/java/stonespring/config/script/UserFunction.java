package stonespring.config.script;

import java.util.Map;

/** A function defined in a script, with the globals of its file. */
record UserFunction(Statement.FunctionDefinition definition, Map<String, Object> globals) {}
