package stonespring.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Runs a settings script: a small language like Starlark's, without loops of open end, recursion,
 * files other than neighbours that it loads, clock or chance. Steps, nesting and sizes are bounded,
 * so that every script ends soon.
 */
public final class Script {
  static final int BYTES_MOST = 1 << 20; // of one file
  private static final int STEPS_MOST = 1_000_000;
  private static final int ITEMS_MOST = 100_000; // of one list, dict or string
  private static final int CALLS_MOST = 32; // calls inside one another
  private static final int FILES_MOST = 16;

  /** A dict that knows where each of its entries stands. */
  public static final class Dict extends LinkedHashMap<Object, Object> {
    private static final long serialVersionUID = 1;
    private final transient Map<Object, SourceLocation> places = new HashMap<>();

    SourceLocation placeOf(Object key, SourceLocation otherwise) {
      return places.getOrDefault(key, otherwise);
    }
  }

  /**
   * A list that knows where its items stand; items that were computed stand where the list does.
   */
  public static final class Items extends ArrayList<Object> {
    private static final long serialVersionUID = 1;
    private final transient List<SourceLocation> places = new ArrayList<>();

    SourceLocation placeOf(int index, SourceLocation otherwise) {
      return index < places.size() ? places.get(index) : otherwise;
    }
  }

  private record Function(Node.Def def, Map<String, Object> globals) {}

  private record Builtin(String name) {}

  private static final class Stop extends RuntimeException {
    private static final long serialVersionUID = 1;
    private final transient SettingsError fault;

    Stop(SourceLocation place, String message) {
      super(message, null, false, false);
      this.fault = new SettingsError(place, message);
    }
  }

  private enum Flow {
    ON,
    BREAK,
    CONTINUE,
    RETURN
  }

  private static final Set<String> BUILTINS =
      Set.of(
          "len",
          "range",
          "str",
          "int",
          "float",
          "min",
          "max",
          "sorted",
          "enumerate",
          "fail",
          "abs",
          "list",
          "get",
          "zip");

  private final List<SettingsError> faults = new ArrayList<>();
  private final Map<Path, Map<String, Object>> loaded = new HashMap<>();
  private final Set<Path> loading = new HashSet<>();
  private final Map<String, SourceLocation> topPlaces = new HashMap<>();
  private final List<String> calls = new ArrayList<>();
  private int steps;
  private Object returned;

  private Script() {}

  /**
   * The names that a script sets at its top level, but functions and those that begin with an
   * underscore.
   */
  public static Dict run(Path file) throws ScriptException {
    Script script = new Script();
    Dict result = new Dict();
    try {
      Map<String, Object> globals = script.file(file, new SourceLocation(file.toString(), 1, 1));
      globals.forEach(
          (name, value) -> {
            if (!name.startsWith("_") && !(value instanceof Function)) {
              result.put(name, value);
              result.places.put(
                  name,
                  script.topPlaces.getOrDefault(name, new SourceLocation(file.toString(), 1, 1)));
            }
          });
    } catch (Stop e) {
      script.faults.add(e.fault);
    }
    if (!script.faults.isEmpty()) {
      throw new ScriptException(script.faults);
    }
    return result;
  }

  private Map<String, Object> file(Path file, SourceLocation from) {
    Path path = file.toAbsolutePath().normalize();
    Map<String, Object> known = loaded.get(path);
    if (known != null) {
      return known;
    }
    if (!loading.add(path) || loading.size() > FILES_MOST) {
      throw new Stop(
          from,
          "load: " + file + " loads itself, or over " + FILES_MOST + " files load each other");
    }
    String text;
    try {
      if (Files.size(path) > BYTES_MOST) {
        throw new Stop(from, file + " is over " + BYTES_MOST + " bytes");
      }
      text = Files.readString(path);
    } catch (IOException e) {
      throw new Stop(
          from,
          "can't read "
              + file
              + ": "
              + (e instanceof java.nio.file.NoSuchFileException
                  ? "there is no such file"
                  : e.getMessage()));
    }
    List<Token> tokens = new Lexer(file.toString(), text, faults).tokens();
    List<Node> tree = new Parser(tokens, faults).script();
    Map<String, Object> globals = new LinkedHashMap<>();
    if (faults.isEmpty()) {
      run(tree, globals, globals, path);
    }
    loading.remove(path);
    loaded.put(path, globals);
    return globals;
  }

  private void step(SourceLocation place) {
    if (++steps > STEPS_MOST) {
      throw new Stop(place, "the script takes over " + STEPS_MOST + " steps");
    }
  }

  private Flow run(
      List<Node> body, Map<String, Object> names, Map<String, Object> globals, Path file) {
    for (Node node : body) {
      step(node.place());
      Flow flow = statement(node, names, globals, file);
      if (flow != Flow.ON) {
        return flow;
      }
    }
    return Flow.ON;
  }

  private Flow statement(
      Node node, Map<String, Object> names, Map<String, Object> globals, Path file) {
    if (node instanceof Node.Assign n) {
      assign(n, names, globals);
    } else if (node instanceof Node.If n) {
      for (Node.Branch branch : n.branches()) {
        if (truth(value(branch.condition(), names, globals))) {
          return run(branch.body(), names, globals, file);
        }
      }
      return run(n.otherwise(), names, globals, file);
    } else if (node instanceof Node.For n) {
      for (Object item : items(n.in().place(), value(n.in(), names, globals))) {
        step(n.place());
        unpack(n.place(), n.names(), item, names);
        Flow flow = run(n.body(), names, globals, file);
        if (flow == Flow.RETURN) {
          return flow;
        }
        if (flow == Flow.BREAK) {
          break;
        }
      }
    } else if (node instanceof Node.Def n) {
      names.put(n.name(), new Function(n, globals));
    } else if (node instanceof Node.Return n) {
      returned = n.value() == null ? null : value(n.value(), names, globals);
      return Flow.RETURN;
    } else if (node instanceof Node.Jump n) {
      return n.word().equals("break")
          ? Flow.BREAK
          : n.word().equals("continue") ? Flow.CONTINUE : Flow.ON;
    } else if (node instanceof Node.Load n) {
      load(n, names, file);
    } else {
      value(node, names, globals);
    }
    return Flow.ON;
  }

  private void load(Node.Load n, Map<String, Object> names, Path file) {
    Path neighbour = Path.of(n.file());
    if (file == null
        || neighbour.getNameCount() != 1
        || neighbour.isAbsolute()
        || n.file().equals("..")) {
      throw new Stop(
          n.place(), "load: only a file in the same folder can be loaded, at the top level");
    }
    Map<String, Object> from = file(file.resolveSibling(neighbour), n.place());
    for (Node.Import wanted : n.names()) {
      if (!from.containsKey(wanted.name()) && faults.isEmpty()) {
        throw new Stop(
            n.place(),
            "load: "
                + n.file()
                + " sets no '"
                + wanted.name()
                + "'"
                + Schema.nearest(wanted.name(), from.keySet()));
      }
      names.put(wanted.as(), from.get(wanted.name()));
    }
    // What a loaded file sets is not set by this one, unless it is loaded by name; a name may be
    // private then.
  }

  private void assign(Node.Assign n, Map<String, Object> names, Map<String, Object> globals) {
    Object value = value(n.value(), names, globals);
    if (!n.op().equals("=")) {
      value =
          binary(
              n.place(),
              n.op().substring(0, n.op().length() - 1),
              value(n.target(), names, globals),
              value);
    }
    if (n.target() instanceof Node.Name name) {
      if (BUILTINS.contains(name.name())) {
        throw new Stop(n.place(), "'" + name.name() + "' is the language's own name");
      }
      names.put(name.name(), value);
      if (names == globals) {
        topPlaces.put(name.name(), n.place());
      }
      return;
    }
    Node.Index target = (Node.Index) n.target();
    Object of = value(target.of(), names, globals);
    Object index = value(target.index(), names, globals);
    if (of instanceof Dict dict) {
      dict.put(key(target.place(), index), value);
      dict.places.put(index, n.place());
      bounded(n.place(), dict.size());
    } else if (of instanceof Items list) {
      list.set(position(target.place(), index, list.size()), value);
    } else {
      throw new Stop(n.place(), "an entry can be set in a list or a dict, not in " + kind(of));
    }
  }

  private void unpack(
      SourceLocation place, List<String> to, Object item, Map<String, Object> names) {
    if (to.size() == 1) {
      names.put(to.get(0), item);
      return;
    }
    if (!(item instanceof Items list) || list.size() != to.size()) {
      throw new Stop(place, to.size() + " names need a list of as many");
    }
    for (int i = 0; i < to.size(); i++) {
      names.put(to.get(i), list.get(i));
    }
  }

  private Object value(Node node, Map<String, Object> names, Map<String, Object> globals) {
    step(node.place());
    if (node instanceof Node.Const n) {
      return n.value();
    }
    if (node instanceof Node.Name n) {
      return name(n, names, globals);
    }
    if (node instanceof Node.Unary n) {
      Object of = value(n.of(), names, globals);
      if (n.op().equals("not")) {
        return !truth(of);
      }
      if (!(of instanceof Number)) {
        throw new Stop(n.place(), "'" + n.op() + "' needs a number, not " + kind(of));
      }
      return n.op().equals("+")
          ? of
          : of instanceof Long l ? (Object) (-l) : (Object) (-(Double) of);
    }
    if (node instanceof Node.Binary n) {
      Object left = value(n.left(), names, globals);
      if (n.op().equals("and") || n.op().equals("or")) {
        return truth(left) == n.op().equals("or") ? left : value(n.right(), names, globals);
      }
      return binary(n.place(), n.op(), left, value(n.right(), names, globals));
    }
    if (node instanceof Node.Choice n) {
      return value(
          truth(value(n.condition(), names, globals)) ? n.then() : n.otherwise(), names, globals);
    }
    if (node instanceof Node.ListOf n) {
      Items list = new Items();
      for (Node item : n.items()) {
        list.add(value(item, names, globals));
        list.places.add(item.place());
      }
      return list;
    }
    if (node instanceof Node.DictOf n) {
      Dict dict = new Dict();
      for (Node.Pair pair : n.pairs()) {
        Object key = key(pair.place(), value(pair.key(), names, globals));
        if (dict.containsKey(key)) {
          throw new Stop(pair.place(), "the key " + key + " comes twice");
        }
        dict.put(key, value(pair.value(), names, globals));
        dict.places.put(key, pair.place());
      }
      return dict;
    }
    if (node instanceof Node.Comprehension n) {
      Items list = new Items();
      Dict dict = new Dict();
      comprehend(n, 0, new HashMap<>(names), globals, list, dict);
      return n.key() == null ? list : dict;
    }
    if (node instanceof Node.Index n) {
      return entry(n, value(n.of(), names, globals), value(n.index(), names, globals));
    }
    return call((Node.Call) node, names, globals);
  }

  private Object name(Node.Name n, Map<String, Object> names, Map<String, Object> globals) {
    if (names.containsKey(n.name())) {
      return names.get(n.name());
    }
    if (globals.containsKey(n.name())) {
      return globals.get(n.name());
    }
    if (BUILTINS.contains(n.name())) {
      return new Builtin(n.name());
    }
    Set<String> all = new HashSet<>(names.keySet());
    all.addAll(globals.keySet());
    all.addAll(BUILTINS);
    throw new Stop(n.place(), "'" + n.name() + "' is not set" + Schema.nearest(n.name(), all));
  }

  private void comprehend(
      Node.Comprehension n,
      int clause,
      Map<String, Object> names,
      Map<String, Object> globals,
      Items list,
      Dict dict) {
    if (clause == n.clauses().size()) {
      if (n.key() == null) {
        list.add(value(n.value(), names, globals));
        list.places.add(n.value().place());
        bounded(n.place(), list.size());
      } else {
        Object key = key(n.place(), value(n.key(), names, globals));
        dict.put(key, value(n.value(), names, globals));
        dict.places.put(key, n.place());
        bounded(n.place(), dict.size());
      }
      return;
    }
    Node.Clause c = n.clauses().get(clause);
    for (Object item : items(c.place(), value(c.in(), names, globals))) {
      step(c.place());
      unpack(c.place(), c.names(), item, names);
      if (c.condition() == null || truth(value(c.condition(), names, globals))) {
        comprehend(n, clause + 1, names, globals, list, dict);
      }
    }
  }

  private static void bounded(SourceLocation place, int size) {
    if (size > ITEMS_MOST) {
      throw new Stop(place, "over " + ITEMS_MOST + " items");
    }
  }

  private static Object key(SourceLocation place, Object key) {
    if (!(key instanceof String || key instanceof Long || key instanceof Boolean)) {
      throw new Stop(place, "a dict's key is a string or a whole number, not " + kind(key));
    }
    return key;
  }

  private static int position(SourceLocation place, Object index, int size) {
    if (!(index instanceof Long l) || l < -size || l >= size) {
      throw new Stop(place, "the index " + index + " is outside a list of " + size);
    }
    return (int) (l < 0 ? l + size : l);
  }

  private static Object entry(Node.Index n, Object of, Object index) {
    if (of instanceof Dict dict) {
      if (!dict.containsKey(index)) {
        throw new Stop(n.place(), "the dict has no key " + index);
      }
      return dict.get(index);
    }
    if (of instanceof Items list) {
      return list.get(position(n.place(), index, list.size()));
    }
    if (of instanceof String text) {
      return String.valueOf(text.charAt(position(n.place(), index, text.length())));
    }
    throw new Stop(n.place(), kind(of) + " has no entries");
  }

  private static List<Object> items(SourceLocation place, Object value) {
    if (value instanceof Items list) {
      return new ArrayList<>(list);
    }
    if (value instanceof Dict dict) {
      return new ArrayList<>(dict.keySet());
    }
    throw new Stop(place, "'for' goes over a list or a dict, not " + kind(value));
  }

  static boolean truth(Object value) {
    return !(value == null
        || Boolean.FALSE.equals(value)
        || "".equals(value)
        || Long.valueOf(0).equals(value)
        || Double.valueOf(0).equals(value)
        || value instanceof List<?> l && l.isEmpty()
        || value instanceof Map<?, ?> m && m.isEmpty());
  }

  static String kind(Object value) {
    return value == null
        ? "None"
        : value instanceof String
            ? "a string"
            : value instanceof Long
                ? "a whole number"
                : value instanceof Double
                    ? "a number"
                    : value instanceof Boolean
                        ? "a truth value"
                        : value instanceof Items
                            ? "a list"
                            : value instanceof Dict ? "a dict" : "a function";
  }

  private static Object binary(SourceLocation place, String op, Object a, Object b) {
    switch (op) {
      case "==" -> {
        return same(a, b);
      }
      case "!=" -> {
        return !same(a, b);
      }
      case "in", "not in" -> {
        boolean in =
            b instanceof Dict d
                ? d.containsKey(a)
                : b instanceof String s && a instanceof String t
                    ? s.contains(t)
                    : items(place, b).stream().anyMatch(item -> same(item, a));
        return in == op.equals("in");
      }
      case "<", ">", "<=", ">=" -> {
        int order = compare(place, a, b);
        return op.equals("<")
            ? order < 0
            : op.equals(">") ? order > 0 : op.equals("<=") ? order <= 0 : order >= 0;
      }
      default -> {
        if (a instanceof Number x && b instanceof Number y) {
          return arithmetic(place, op, x, y);
        }
        return joined(place, op, a, b);
      }
    }
  }

  private static Object joined(SourceLocation place, String op, Object a, Object b) {
    if (op.equals("+") && a instanceof String x && b instanceof String y) {
      bounded(place, x.length() + y.length());
      return x + y;
    }
    if (op.equals("+") && a instanceof Items x && b instanceof Items y) {
      bounded(place, x.size() + y.size());
      Items all = new Items();
      all.addAll(x);
      all.addAll(y);
      for (int i = 0; i < all.size(); i++) {
        all.places.add(i < x.size() ? x.placeOf(i, place) : y.placeOf(i - x.size(), place));
      }
      return all;
    }
    if (op.equals("+") && a instanceof Dict x && b instanceof Dict y) {
      Dict all = new Dict();
      all.putAll(x);
      all.putAll(y);
      all.places.putAll(x.places);
      all.places.putAll(y.places);
      bounded(place, all.size());
      return all;
    }
    if (op.equals("*") && a instanceof Items x && b instanceof Long n) {
      bounded(place, (int) Math.min(Integer.MAX_VALUE, Math.max(0, n) * x.size()));
      Items all = new Items();
      for (long i = 0; i < n; i++) {
        all.addAll(x);
      }
      return all;
    }
    throw new Stop(place, "'" + op + "' does not go with " + kind(a) + " and " + kind(b));
  }

  private static boolean same(Object a, Object b) {
    return a instanceof Number x && b instanceof Number y
        ? x.doubleValue() == y.doubleValue()
        : java.util.Objects.equals(a, b);
  }

  private static int compare(SourceLocation place, Object a, Object b) {
    if (a instanceof Number x && b instanceof Number y) {
      return Double.compare(x.doubleValue(), y.doubleValue());
    }
    if (a instanceof String x && b instanceof String y) {
      return x.compareTo(y);
    }
    throw new Stop(place, kind(a) + " and " + kind(b) + " have no order");
  }

  private static Object arithmetic(SourceLocation place, String op, Number x, Number y) {
    boolean whole = x instanceof Long && y instanceof Long;
    double a = x.doubleValue();
    double b = y.doubleValue();
    if (b == 0 && (op.equals("/") || op.equals("//") || op.equals("%"))) {
      throw new Stop(place, "division by zero");
    }
    try {
      if (whole && !op.equals("/")) {
        long i = x.longValue();
        long j = y.longValue();
        return switch (op) {
          case "+" -> Math.addExact(i, j);
          case "-" -> Math.subtractExact(i, j);
          case "*" -> Math.multiplyExact(i, j);
          case "//" -> Math.floorDiv(i, j);
          default -> Math.floorMod(i, j);
        };
      }
    } catch (ArithmeticException e) {
      throw new Stop(place, "the number grows too large");
    }
    double result =
        switch (op) {
          case "+" -> a + b;
          case "-" -> a - b;
          case "*" -> a * b;
          case "/" -> a / b;
          case "//" -> Math.floor(a / b);
          default -> a - b * Math.floor(a / b);
        };
    if (Double.isNaN(result) || Double.isInfinite(result)) {
      throw new Stop(place, "the number grows too large");
    }
    return result;
  }

  private Object call(Node.Call n, Map<String, Object> names, Map<String, Object> globals) {
    Object function = value(n.function(), names, globals);
    List<Object> plain = new ArrayList<>();
    Map<String, Object> named = new LinkedHashMap<>();
    for (Node.Argument argument : n.arguments()) {
      Object value = value(argument.value(), names, globals);
      if (argument.name() == null) {
        if (!named.isEmpty()) {
          throw new Stop(n.place(), "an argument without a name stands after one with a name");
        }
        plain.add(value);
      } else if (named.put(argument.name(), value) != null) {
        throw new Stop(n.place(), "argument '" + argument.name() + "' comes twice");
      }
    }
    if (function instanceof Builtin builtin) {
      if (!named.isEmpty()) {
        throw new Stop(n.place(), builtin.name() + " takes no named arguments");
      }
      return builtin(n.place(), builtin.name(), plain);
    }
    if (!(function instanceof Function f)) {
      throw new Stop(n.place(), kind(function) + " can't be called");
    }
    return call(n.place(), f, plain, named);
  }

  private Object call(
      SourceLocation place, Function f, List<Object> plain, Map<String, Object> named) {
    String name = f.def().name();
    if (calls.contains(name + f.def().place()) || calls.size() >= CALLS_MOST) {
      throw new Stop(
          place,
          "'" + name + "' calls itself, or over " + CALLS_MOST + " calls stand inside each other");
    }
    Map<String, Object> local = new HashMap<>();
    List<Node.Parameter> parameters = f.def().parameters();
    if (plain.size() > parameters.size()) {
      throw new Stop(
          place, name + " takes " + parameters.size() + " arguments, not " + plain.size());
    }
    for (int i = 0; i < parameters.size(); i++) {
      Node.Parameter parameter = parameters.get(i);
      if (i < plain.size()) {
        local.put(parameter.name(), plain.get(i));
      } else if (named.containsKey(parameter.name())) {
        local.put(parameter.name(), named.remove(parameter.name()));
      } else if (parameter.standard() != null) {
        local.put(parameter.name(), value(parameter.standard(), f.globals(), f.globals()));
      } else {
        throw new Stop(place, name + ": argument '" + parameter.name() + "' is missing");
      }
    }
    if (!named.isEmpty()) {
      throw new Stop(place, name + " takes no argument '" + named.keySet().iterator().next() + "'");
    }
    calls.add(name + f.def().place());
    returned = null;
    run(f.def().body(), local, f.globals(), null);
    calls.remove(calls.size() - 1);
    Object result = returned;
    returned = null;
    return result;
  }

  private Object builtin(SourceLocation place, String name, List<Object> a) {
    try {
      return switch (name) {
        case "len" ->
            (long) (a.get(0) instanceof String s ? s.length() : items(place, a.get(0)).size());
        case "range" -> range(place, a);
        case "str" -> a.get(0) instanceof Double d ? Schema.plain(d) : String.valueOf(a.get(0));
        case "int" ->
            a.get(0) instanceof String s
                ? Long.valueOf(s)
                : (Object) ((Number) a.get(0)).longValue();
        case "float" ->
            a.get(0) instanceof String s
                ? Double.valueOf(s)
                : (Object) ((Number) a.get(0)).doubleValue();
        case "abs" ->
            a.get(0) instanceof Long l
                ? (Object) Math.abs(l)
                : (Object) Math.abs((Double) a.get(0));
        case "min", "max" ->
            extreme(place, a.size() == 1 ? items(place, a.get(0)) : a, name.equals("min") ? 1 : -1);
        case "sorted" -> {
          Items sorted = new Items();
          sorted.addAll(items(place, a.get(0)));
          sorted.sort((x, y) -> compare(place, x, y));
          yield sorted;
        }
        case "list" -> {
          Items list = new Items();
          list.addAll(items(place, a.get(0)));
          yield list;
        }
        case "enumerate", "zip" -> rows(place, name, a);
        case "get" -> ((Dict) a.get(0)).getOrDefault(a.get(1), a.size() > 2 ? a.get(2) : null);
        default -> throw new Stop(place, "fail: " + (a.isEmpty() ? "" : a.get(0)));
      };
    } catch (IndexOutOfBoundsException
        | ClassCastException
        | NullPointerException
        | NumberFormatException e) {
      throw new Stop(place, name + " does not take these arguments");
    }
  }

  private static Items range(SourceLocation place, List<Object> a) {
    long from = a.size() > 1 ? (Long) a.get(0) : 0;
    long to = (Long) a.get(a.size() > 1 ? 1 : 0);
    long by = a.size() > 2 ? (Long) a.get(2) : 1;
    if (by == 0 || Math.abs((to - from) / by) > ITEMS_MOST) {
      throw new Stop(place, "range: a step of 0, or over " + ITEMS_MOST + " items");
    }
    Items list = new Items();
    for (long i = from; by > 0 ? i < to : i > to; i += by) {
      list.add(i);
    }
    return list;
  }

  private static Object extreme(SourceLocation place, List<Object> of, int sign) {
    Object best = of.get(0);
    for (Object item : of) {
      best = sign * compare(place, item, best) < 0 ? item : best;
    }
    return best;
  }

  private static Items rows(SourceLocation place, String name, List<Object> a) {
    List<Object> first = items(place, a.get(0));
    List<Object> second = name.equals("zip") ? items(place, a.get(1)) : first;
    Items rows = new Items();
    for (int i = 0; i < Math.min(first.size(), second.size()); i++) {
      Items row = new Items();
      row.add(name.equals("zip") ? first.get(i) : (Object) (long) i);
      row.add(second.get(i));
      rows.add(row);
    }
    return rows;
  }
}
