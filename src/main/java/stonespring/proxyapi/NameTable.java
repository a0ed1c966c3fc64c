package stonespring.proxyapi;

import java.util.List;
import java.util.Optional;
import stonespring.model.RequestClassId;
import stonespring.model.ZoneId;

/** The settings' names of zones and request classes, by position. */
public record NameTable(List<String> zones, List<String> requestClasses) {
  /** The zone with that name. */
  public Optional<ZoneId> zone(String name) {
    int index = zones.indexOf(name);
    return index < 0 ? Optional.empty() : Optional.of(new ZoneId(index));
  }

  /** The request class with that name. */
  public Optional<RequestClassId> requestClass(String name) {
    int index = requestClasses.indexOf(name);
    return index < 0 ? Optional.empty() : Optional.of(new RequestClassId(index));
  }
}
