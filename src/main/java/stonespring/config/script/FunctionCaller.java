package stonespring.config.script;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Binds arguments to parameters and calls functions. Recursion is an error. */
final class FunctionCaller {
  /** The largest number of nested calls. */
  private static final int MAX_CALL_DEPTH = 32;

  private final StatementExecutor executor;
  private final ExecutionLimits limits;

  /**
   * The functions being called, outermost first, each as its name and the location of its
   * definition.
   */
  private final List<String> activeCalls = new ArrayList<>();

  FunctionCaller(StatementExecutor executor, ExecutionLimits limits) {
    this.executor = executor;
    this.limits = limits;
  }

  /**
   * Calls a function with evaluated arguments.
   *
   * @param named the named arguments; the call removes those that it binds to a parameter
   */
  Object call(
      SourceLocation location,
      Object function,
      List<Object> positional,
      Map<String, Object> named) {
    if (function instanceof Builtin builtin) {
      if (!named.isEmpty()) {
        throw new EvaluationException(location, builtin.name() + " takes no named arguments");
      }
      return BuiltinFunctions.call(limits, location, builtin.name(), positional);
    }
    if (!(function instanceof UserFunction userFunction)) {
      throw new EvaluationException(
          location, "only a function can be called, not " + Values.typeName(function));
    }
    return call(location, userFunction, positional, named);
  }

  private Object call(
      SourceLocation location,
      UserFunction function,
      List<Object> positional,
      Map<String, Object> named) {
    Statement.FunctionDefinition definition = function.definition();
    String functionName = definition.name();
    String callKey = functionName + definition.location();
    if (activeCalls.contains(callKey) || activeCalls.size() >= MAX_CALL_DEPTH) {
      throw new EvaluationException(
          location,
          "'"
              + functionName
              + "' calls itself, directly or through other functions, or calls are nested more than "
              + MAX_CALL_DEPTH
              + " levels deep");
    }
    Map<String, Object> arguments = bind(location, function, positional, named);
    if (!named.isEmpty()) {
      String unknown = named.keySet().iterator().next();
      throw new EvaluationException(location, functionName + " has no parameter '" + unknown + "'");
    }
    activeCalls.add(callKey);
    Object result =
        executor.runFunction(definition.body(), Scope.ofFunction(arguments, function.globals()));
    activeCalls.remove(activeCalls.size() - 1);
    return result;
  }

  /**
   * Returns the arguments by parameter name. Those bound by name are removed from {@code named}.
   */
  private Map<String, Object> bind(
      SourceLocation location,
      UserFunction function,
      List<Object> positional,
      Map<String, Object> named) {
    String functionName = function.definition().name();
    List<Statement.Parameter> parameters = function.definition().parameters();
    if (positional.size() > parameters.size()) {
      throw new EvaluationException(
          location,
          functionName
              + " takes at most "
              + parameters.size()
              + " arguments, got "
              + positional.size());
    }
    Map<String, Object> arguments = new HashMap<>();
    for (int i = 0; i < parameters.size(); i++) {
      Statement.Parameter parameter = parameters.get(i);
      Object value;
      if (i < positional.size()) {
        value = positional.get(i);
      } else if (named.containsKey(parameter.name())) {
        value = named.remove(parameter.name());
      } else if (parameter.defaultValue() != null) {
        Scope scope = Scope.ofFunction(function.globals(), function.globals());
        value = executor.evaluator().evaluate(parameter.defaultValue(), scope);
      } else {
        throw new EvaluationException(
            location, functionName + ": required argument '" + parameter.name() + "' is missing");
      }
      arguments.put(parameter.name(), value);
    }
    return arguments;
  }
}
