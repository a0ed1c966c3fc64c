package stonespring.proxyapi.platform;

import java.util.Comparator;
import java.util.TreeSet;
import stonespring.model.EndpointId;

/** The endpoints that a message excludes or allows again, each set ordered by name. */
record ExclusionChanges(TreeSet<EndpointId> excluded, TreeSet<EndpointId> allowed) {
  private static final Comparator<EndpointId> BY_NAME = Comparator.comparing(EndpointId::name);

  /** Creates an empty set of changes, to be filled by {@link #add}. */
  ExclusionChanges() {
    this(new TreeSet<>(BY_NAME), new TreeSet<>(BY_NAME));
  }

  void add(EndpointId endpoint, boolean exclude) {
    (exclude ? excluded : allowed).add(endpoint);
  }

  boolean isEmpty() {
    return excluded.isEmpty() && allowed.isEmpty();
  }

  int size() {
    return excluded.size() + allowed.size();
  }
}
