package stonespring.config.script;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Evaluates expressions. */
final class ExpressionEvaluator {
  private final ExecutionLimits limits;
  private final FunctionCaller functions;

  ExpressionEvaluator(ExecutionLimits limits, FunctionCaller functions) {
    this.limits = limits;
    this.functions = functions;
  }

  /**
   * Evaluates an expression; the result is null for {@code None}.
   *
   * <p>Operator chains and nested expressions recurse through this method. It has few local
   * variables, so that each call needs little stack.
   */
  Object evaluate(Expression expression, Scope scope) {
    limits.countStep(expression.location());
    if (expression instanceof Expression.Literal literal) {
      return literal.value();
    }
    if (expression instanceof Expression.Name name) {
      return lookUp(name, scope);
    }
    if (expression instanceof Expression.Unary unary) {
      return Operators.applyUnary(unary, evaluate(unary.operand(), scope));
    }
    if (expression instanceof Expression.Binary binary) {
      Object left = evaluate(binary.left(), scope);
      return shortCircuits(binary.operator(), left)
          ? left
          : applyBinary(binary, left, evaluate(binary.right(), scope));
    }
    if (expression instanceof Expression.Conditional conditional) {
      boolean conditionHolds = Values.isTrue(evaluate(conditional.condition(), scope));
      return evaluate(conditionHolds ? conditional.whenTrue() : conditional.whenFalse(), scope);
    }
    if (expression instanceof Expression.Index index) {
      Object container = evaluate(index.container(), scope);
      return Values.elementAt(index.location(), container, evaluate(index.index(), scope));
    }
    if (expression instanceof Expression.Comprehension comprehension) {
      return evaluateComprehension(comprehension, scope);
    }
    if (expression instanceof Expression.ListDisplay list) {
      return evaluateList(list, scope);
    }
    if (expression instanceof Expression.DictDisplay dict) {
      return evaluateDict(dict, scope);
    }
    return evaluateCall((Expression.Call) expression, scope);
  }

  /**
   * Assigns an item to a single name. With several names, the item must be a list of the same
   * length, whose items are assigned to the names in order.
   */
  void unpack(SourceLocation location, List<String> names, Object item, Scope scope) {
    if (names.size() == 1) {
      scope.set(names.get(0), item);
      return;
    }
    if (!(item instanceof ScriptList list) || list.size() != names.size()) {
      String found =
          item instanceof ScriptList other ? "a list of " + other.size() : Values.typeName(item);
      throw new EvaluationException(
          location,
          "cannot unpack into "
              + names.size()
              + " names: expected a list of as many items, got "
              + found);
    }
    for (int i = 0; i < names.size(); i++) {
      scope.set(names.get(i), list.get(i));
    }
  }

  private static Object lookUp(Expression.Name reference, Scope scope) {
    String name = reference.name();
    if (scope.locals().containsKey(name)) {
      return scope.locals().get(name);
    }
    if (scope.globals().containsKey(name)) {
      return scope.globals().get(name);
    }
    if (BuiltinFunctions.names().contains(name)) {
      return new Builtin(name);
    }
    Set<String> known = new HashSet<>(scope.locals().keySet());
    known.addAll(scope.globals().keySet());
    known.addAll(BuiltinFunctions.names());
    throw new EvaluationException(
        reference.location(), "'" + name + "' is not defined" + NearestName.hint(name, known));
  }

  /**
   * Whether the left operand decides the value of AND or OR, so that the right one is not
   * evaluated.
   */
  private static boolean shortCircuits(BinaryOperator operator, Object left) {
    return switch (operator) {
      case AND -> !Values.isTrue(left);
      case OR -> Values.isTrue(left);
      default -> false;
    };
  }

  private Object applyBinary(Expression.Binary binary, Object left, Object right) {
    return switch (binary.operator()) {
      case AND, OR -> right;
      default -> Operators.applyBinary(limits, binary.location(), binary.operator(), left, right);
    };
  }

  private ScriptList evaluateList(Expression.ListDisplay display, Scope scope) {
    limits.countList(display.location(), display.items().size());
    ScriptList list = new ScriptList();
    for (Expression item : display.items()) {
      list.append(evaluate(item, scope), item.location());
    }
    return list;
  }

  private ScriptDict evaluateDict(Expression.DictDisplay display, Scope scope) {
    limits.countDict(display.location(), display.entries().size());
    ScriptDict dict = new ScriptDict();
    for (Expression.DictEntry entry : display.entries()) {
      Object key = Values.requireKey(entry.location(), evaluate(entry.key(), scope));
      if (dict.containsKey(key)) {
        throw new EvaluationException(entry.location(), "duplicate key " + key + " in a dict");
      }
      dict.put(key, evaluate(entry.value(), scope), entry.location());
    }
    return dict;
  }

  private Object evaluateComprehension(Expression.Comprehension comprehension, Scope scope) {
    limits.countList(comprehension.location(), 0);
    Object result = comprehension.key() == null ? new ScriptList() : new ScriptDict();
    runClauses(comprehension, 0, scope.nested(), result);
    return result;
  }

  /**
   * Runs the clauses from a position on, each nested in the previous one. Each iteration of the
   * last clause adds an item or entry to the result.
   */
  private void runClauses(
      Expression.Comprehension comprehension, int position, Scope scope, Object result) {
    Expression.ComprehensionClause clause = comprehension.clauses().get(position);
    boolean isLast = position + 1 == comprehension.clauses().size();
    Object iterable = evaluate(clause.iterable(), scope);
    for (Object item : Values.items(clause.location(), iterable)) {
      limits.countStep(clause.location());
      unpack(clause.location(), clause.names(), item, scope);
      if (clause.condition() != null && !Values.isTrue(evaluate(clause.condition(), scope))) {
        continue;
      }
      if (!isLast) {
        runClauses(comprehension, position + 1, scope, result);
      } else if (result instanceof ScriptList list) {
        addItem(comprehension, scope, list);
      } else {
        addEntry(comprehension, scope, (ScriptDict) result);
      }
    }
  }

  private void addItem(Expression.Comprehension comprehension, Scope scope, ScriptList list) {
    Expression value = comprehension.value();
    list.append(evaluate(value, scope), value.location());
    limits.countAppended(comprehension.location(), list.size());
  }

  private void addEntry(Expression.Comprehension comprehension, Scope scope, ScriptDict dict) {
    SourceLocation location = comprehension.location();
    Object key = Values.requireKey(location, evaluate(comprehension.key(), scope));
    dict.put(key, evaluate(comprehension.value(), scope), location);
    limits.countEntry(location, dict.size());
  }

  private Object evaluateCall(Expression.Call call, Scope scope) {
    Object function = evaluate(call.function(), scope);
    List<Object> positional = new ArrayList<>();
    Map<String, Object> named = new LinkedHashMap<>();
    for (Expression.Argument argument : call.arguments()) {
      Object value = evaluate(argument.value(), scope);
      if (argument.name() != null) {
        if (named.put(argument.name(), value) != null) {
          throw new EvaluationException(
              call.location(), "argument '" + argument.name() + "' is given more than once");
        }
      } else if (named.isEmpty()) {
        positional.add(value);
      } else {
        throw new EvaluationException(
            call.location(), "a positional argument must not follow a named argument");
      }
    }
    return functions.call(call.location(), function, positional, named);
  }
}
