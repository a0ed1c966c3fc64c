package stonespring.config;

import java.util.List;

/** The tree of a script. */
sealed interface Node {
  SourceLocation place();

  record Const(SourceLocation place, Object value) implements Node {}

  record Name(SourceLocation place, String name) implements Node {}

  record Unary(SourceLocation place, String op, Node of) implements Node {}

  record Binary(SourceLocation place, String op, Node left, Node right) implements Node {}

  record Choice(SourceLocation place, Node then, Node condition, Node otherwise) implements Node {}

  record ListOf(SourceLocation place, List<Node> items) implements Node {}

  record Pair(SourceLocation place, Node key, Node value) {}

  record DictOf(SourceLocation place, List<Pair> pairs) implements Node {}

  record Clause(SourceLocation place, List<String> names, Node in, Node condition) {}

  /** {@code key} is null for a list. */
  record Comprehension(SourceLocation place, Node key, Node value, List<Clause> clauses)
      implements Node {}

  record Index(SourceLocation place, Node of, Node index) implements Node {}

  record Argument(String name, Node value) {}

  record Call(SourceLocation place, Node function, List<Argument> arguments) implements Node {}

  record Assign(SourceLocation place, Node target, String op, Node value) implements Node {}

  record Branch(Node condition, List<Node> body) {}

  record If(SourceLocation place, List<Branch> branches, List<Node> otherwise) implements Node {}

  record For(SourceLocation place, List<String> names, Node in, List<Node> body) implements Node {}

  record Parameter(String name, Node standard) {}

  record Def(SourceLocation place, String name, List<Parameter> parameters, List<Node> body)
      implements Node {}

  record Return(SourceLocation place, Node value) implements Node {}

  /** {@code pass}, {@code break} or {@code continue}. */
  record Jump(SourceLocation place, String word) implements Node {}

  record Import(String name, String as) {}

  record Load(SourceLocation place, String file, List<Import> names) implements Node {}
}
