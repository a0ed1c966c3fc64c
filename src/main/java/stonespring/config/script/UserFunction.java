package stonespring.config.script;

import java.util.Map;

/** A function that a script defines, with the globals of its file. */
record UserFunction(Statement.FunctionDefinition definition, Map<String, Object> globals) {}
