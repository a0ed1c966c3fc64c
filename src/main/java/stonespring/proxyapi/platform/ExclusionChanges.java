package stonespring.proxyapi.platform;

import java.util.Comparator;
import java.util.TreeSet;
import stonespring.model.EndpointId;

/** Endpoints that a message excludes and allows again, each by name. */
record ExclusionChanges(TreeSet<EndpointId> excluded, TreeSet<EndpointId> allowed) {
  private static final Comparator<EndpointId> BY_NAME = Comparator.comparing(EndpointId::name);

  /** Creates changes to be added to. */
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
