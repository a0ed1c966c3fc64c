package stonespring.config;

import java.util.List;

/** The tree of a script. */
sealed interface Node {
  Place place();

  record Const(Place place, Object value) implements Node {}

  record Name(Place place, String name) implements Node {}

  record Unary(Place place, String op, Node of) implements Node {}

  record Binary(Place place, String op, Node left, Node right) implements Node {}

  record Choice(Place place, Node then, Node condition, Node otherwise) implements Node {}

  record ListOf(Place place, List<Node> items) implements Node {}

  record Pair(Place place, Node key, Node value) {}

  record DictOf(Place place, List<Pair> pairs) implements Node {}

  record Clause(Place place, List<String> names, Node in, Node condition) {}

  /** {@code key} is null for a list. */
  record Comprehension(Place place, Node key, Node value, List<Clause> clauses) implements Node {}

  record Index(Place place, Node of, Node index) implements Node {}

  record Argument(String name, Node value) {}

  record Call(Place place, Node function, List<Argument> arguments) implements Node {}

  record Assign(Place place, Node target, String op, Node value) implements Node {}

  record Branch(Node condition, List<Node> body) {}

  record If(Place place, List<Branch> branches, List<Node> otherwise) implements Node {}

  record For(Place place, List<String> names, Node in, List<Node> body) implements Node {}

  record Parameter(String name, Node standard) {}

  record Def(Place place, String name, List<Parameter> parameters, List<Node> body)
      implements Node {}

  record Return(Place place, Node value) implements Node {}

  /** {@code pass}, {@code break} or {@code continue}. */
  record Jump(Place place, String word) implements Node {}

  record Import(String name, String as) {}

  record Load(Place place, String file, List<Import> names) implements Node {}
}
