package stonespring.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.RouteTableId;
import stonespring.model.ZoneId;

/** Proxies, endpoints and updates shared by the tests of this package. */
final class StateFixture {
  static final List<String> REQUEST_CLASSES = List.of("view", "extract");
  static final ProxyId PROXY = new ProxyId(0);
  static final ProxyId OTHER_PROXY = new ProxyId(1);
  static final RouteTableId TABLE = new RouteTableId(7);
  static final EndpointId ENDPOINT_A = new EndpointId("a@h:1");
  static final EndpointId ENDPOINT_B = new EndpointId("b@h:2");
  private static final PublishedKeyCodec CODEC = new PublishedKeyCodec(REQUEST_CLASSES);

  private StateFixture() {}

  /** Returns the published keys that an update changes, in order; a deleted key maps to null. */
  static Map<String, String> keys(ProxyUpdate update) {
    Map<String, String> keys = new LinkedHashMap<>();
    for (ProxyChange change : update.changes()) {
      keys.put(CODEC.key(change.subject()), CODEC.value(change).orElse(null));
    }
    return keys;
  }

  /** Creates an update with the given number of entries, one route for each. */
  static ProxyUpdate update(ProxyId proxy, int entries) {
    List<ProxyChange> changes = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      changes.add(routeChange("t" + i, 1));
    }
    return new ProxyUpdate(proxy, changes, entries, Optional.empty(), 0);
  }

  static ProxyChange routeChange(String endpoint, double weight) {
    return new ProxyChange.RouteChange(TABLE, new EndpointId(endpoint), weight);
  }

  static ProxyHello hello(String processId, long sessionSequence) {
    return new ProxyHello(processId, sessionSequence, new ZoneId(0), 1, true, Optional.empty());
  }
}
