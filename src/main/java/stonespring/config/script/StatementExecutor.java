package stonespring.config.script;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Executes the statements of parsed files. */
final class StatementExecutor {
  /** How the execution of a statement ended. */
  enum Completion {
    NORMAL,
    BREAK,
    CONTINUE,
    RETURN
  }

  private final ScriptLoader loader;
  private final ExecutionLimits limits;
  private final ExpressionEvaluator evaluator;
  private final Map<String, SourceLocation> globalLocations = new HashMap<>();
  private Object returnValue;

  StatementExecutor(ScriptLoader loader, ExecutionLimits limits) {
    this.loader = loader;
    this.limits = limits;
    this.evaluator = new ExpressionEvaluator(limits, new FunctionCaller(this, limits));
  }

  /**
   * The location at which a name was last assigned at the top level of a file, or the given
   * location if it was not.
   */
  SourceLocation locationOf(String name, SourceLocation defaultLocation) {
    return globalLocations.getOrDefault(name, defaultLocation);
  }

  ExpressionEvaluator evaluator() {
    return evaluator;
  }

  /** Executes the body of a function and returns its value; null if it returns none. */
  Object runFunction(List<Statement> body, Scope scope) {
    returnValue = null;
    run(body, scope);
    Object result = returnValue;
    returnValue = null;
    return result;
  }

  /**
   * Executes statements in order, up to the first one that ends with a {@code break}, {@code
   * continue} or {@code return}.
   */
  Completion run(List<Statement> body, Scope scope) {
    for (Statement statement : body) {
      limits.countStep(statement.location());
      Completion completion = execute(statement, scope);
      if (completion != Completion.NORMAL) {
        return completion;
      }
    }
    return Completion.NORMAL;
  }

  private Completion execute(Statement statement, Scope scope) {
    if (statement instanceof Statement.Assign assign) {
      assign(assign, scope);
    } else if (statement instanceof Statement.If conditional) {
      return executeIf(conditional, scope);
    } else if (statement instanceof Statement.For loop) {
      return executeFor(loop, scope);
    } else if (statement instanceof Statement.FunctionDefinition definition) {
      scope.set(definition.name(), new UserFunction(definition, scope.globals()));
    } else if (statement instanceof Statement.Return returnStatement) {
      returnValue =
          returnStatement.value() == null
              ? null
              : evaluator.evaluate(returnStatement.value(), scope);
      return Completion.RETURN;
    } else if (statement instanceof Statement.Break) {
      return Completion.BREAK;
    } else if (statement instanceof Statement.Continue) {
      return Completion.CONTINUE;
    } else if (statement instanceof Statement.Load load) {
      load(load, scope);
    } else if (statement instanceof Statement.ExpressionStatement expressionStatement) {
      evaluator.evaluate(expressionStatement.expression(), scope);
    }
    return Completion.NORMAL;
  }

  private Completion executeIf(Statement.If conditional, Scope scope) {
    for (Statement.Branch branch : conditional.branches()) {
      if (Values.isTrue(evaluator.evaluate(branch.condition(), scope))) {
        return run(branch.body(), scope);
      }
    }
    return run(conditional.elseBody(), scope);
  }

  private Completion executeFor(Statement.For loop, Scope scope) {
    Object iterable = evaluator.evaluate(loop.iterable(), scope);
    for (Object item : Values.items(loop.iterable().location(), iterable)) {
      limits.countStep(loop.location());
      evaluator.unpack(loop.location(), loop.names(), item, scope);
      Completion completion = run(loop.body(), scope);
      if (completion == Completion.RETURN) {
        return completion;
      }
      if (completion == Completion.BREAK) {
        break;
      }
    }
    return Completion.NORMAL;
  }

  private void load(Statement.Load load, Scope scope) {
    Path siblingFile = Path.of(load.file());
    boolean sameFolder =
        siblingFile.getNameCount() == 1 && !siblingFile.isAbsolute() && !load.file().equals("..");
    if (scope.file() == null || !sameFolder) {
      throw new EvaluationException(
          load.location(),
          "load: only a file in the same folder can be loaded, and only at the top level");
    }
    Map<String, Object> exports =
        loader.load(scope.file().resolveSibling(siblingFile), load.location());
    for (Statement.ImportedName imported : load.names()) {
      // After a syntax error no file is executed, so the names of the loaded file are not set.
      if (!exports.containsKey(imported.name()) && loader.errors().isEmpty()) {
        throw new EvaluationException(
            load.location(),
            "load: "
                + load.file()
                + " does not define '"
                + imported.name()
                + "'"
                + NearestName.hint(imported.name(), exports.keySet()));
      }
      scope.set(imported.localName(), exports.get(imported.name()));
    }
  }

  private void assign(Statement.Assign assign, Scope scope) {
    Object value = evaluator.evaluate(assign.value(), scope);
    if (assign.operator() != null) {
      Object previous = evaluator.evaluate(assign.target(), scope);
      value = Operators.applyBinary(limits, assign.location(), assign.operator(), previous, value);
    }
    if (assign.target() instanceof Expression.Name name) {
      assignName(assign.location(), name.name(), value, scope);
    } else if (assign.target() instanceof Expression.Index entry) {
      assignEntry(assign.location(), entry, value, scope);
    }
  }

  private void assignName(SourceLocation location, String name, Object value, Scope scope) {
    if (BuiltinFunctions.names().contains(name)) {
      throw new EvaluationException(
          location, "cannot assign to '" + name + "': it is the name of a built-in function");
    }
    scope.set(name, value);
    if (scope.isTopLevel()) {
      globalLocations.put(name, location);
    }
  }

  private void assignEntry(
      SourceLocation location, Expression.Index entry, Object value, Scope scope) {
    Object container = evaluator.evaluate(entry.container(), scope);
    Object index = evaluator.evaluate(entry.index(), scope);
    if (container instanceof ScriptDict dict) {
      dict.put(Values.requireKey(entry.location(), index), value, location);
      limits.countEntry(location, dict.size());
    } else if (container instanceof ScriptList list) {
      list.set(Values.requirePosition(entry.location(), index, list.size()), value);
    } else {
      throw new EvaluationException(
          location,
          "can assign only to an entry of a list or dict, not of " + Values.typeName(container));
    }
  }
}
