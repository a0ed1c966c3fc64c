package stonespring.front;

import java.util.List;
import stonespring.model.OpTypeId;
import stonespring.model.ZoneId;

/** The settings' names for zones and op types, by position. */
public record Names(List<String> zones, List<String> opTypes) {
  /** The zone with that name; null where there is none. */
  public ZoneId zone(String name) {
    int at = zones.indexOf(name);
    return at < 0 ? null : new ZoneId(at);
  }

  public OpTypeId opType(String name) {
    int at = opTypes.indexOf(name);
    return at < 0 ? null : new OpTypeId(at);
  }
}
