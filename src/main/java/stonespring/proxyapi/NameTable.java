package stonespring.proxyapi;

import java.util.List;
import java.util.Optional;
import stonespring.model.RequestClassId;
import stonespring.model.ZoneId;

/**
 * The names of the zones and request classes in the settings. The position of a name in its list is
 * the index of its {@link ZoneId} or {@link RequestClassId}.
 */
public record NameTable(List<String> zones, List<String> requestClasses) {
  /** Returns the zone with the given name; empty if the settings have none. */
  public Optional<ZoneId> zone(String name) {
    int index = zones.indexOf(name);
    return index < 0 ? Optional.empty() : Optional.of(new ZoneId(index));
  }

  /** Returns the request class with the given name; empty if the settings have none. */
  public Optional<RequestClassId> requestClass(String name) {
    int index = requestClasses.indexOf(name);
    return index < 0 ? Optional.empty() : Optional.of(new RequestClassId(index));
  }
}
