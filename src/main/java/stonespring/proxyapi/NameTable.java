package stonespring.proxyapi;

import java.util.List;
import stonespring.model.RequestClassId;
import stonespring.model.ZoneId;

/** The settings' names for zones and op types, by position. */
public record NameTable(List<String> zones, List<String> opTypes) {
  /** The zone with that name; null where there is none. */
  public ZoneId zone(String name) {
    int at = zones.indexOf(name);
    return at < 0 ? null : new ZoneId(at);
  }

  public RequestClassId opType(String name) {
    int at = opTypes.indexOf(name);
    return at < 0 ? null : new RequestClassId(at);
  }
}
