package stonespring.discovery;

import java.util.List;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ZoneId;

/** A codec, endpoints and updates shared by tests of endpoint lists. */
final class EndpointLists {
  private EndpointLists() {}

  static EndpointListCodec codec() {
    return new EndpointListCodec(List.of("west", "east"), 0);
  }

  /** Creates an endpoint in zone east at 127.0.0.1:80, started at Unix time 1000 ms. */
  static EndpointRecord endpoint(String name, double weight, EndpointRecord.State state) {
    return new EndpointRecord(
        new EndpointId(name + "@127.0.0.1:80"),
        new ZoneId(1),
        weight,
        state,
        state == EndpointRecord.State.REMOVED ? 0 : 10_000);
  }

  static Event.EndpointListUpdate snapshot(EndpointRecord... endpoints) {
    return new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, List.of(endpoints));
  }

  static Event.EndpointListUpdate delta(EndpointRecord... endpoints) {
    return new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, List.of(endpoints));
  }
}
