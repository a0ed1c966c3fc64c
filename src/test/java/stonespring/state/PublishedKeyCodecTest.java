package stonespring.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.RequestClassId;
import stonespring.model.RetryPolicy;
import stonespring.model.RouteTableId;

final class PublishedKeyCodecTest {
  private static final RouteTableId TABLE = new RouteTableId(3);
  private static final RequestClassId CLASS = new RequestClassId(0);
  private static final EndpointId ENDPOINT = new EndpointId("s/1");
  private final PublishedKeyCodec codec = new PublishedKeyCodec(List.of("look/up"));

  private Map<String, Optional<String>> encode(ProxyChange... changes) {
    Map<String, Optional<String>> keys = new LinkedHashMap<>();
    for (ProxyChange change : changes) {
      keys.put(codec.key(change.subject()), codec.value(change));
    }
    return keys;
  }

  @Test
  void encodesEachKindOfChangeUnderItsKey() {
    AdmissionLimit limit = new AdmissionLimit(0.5, RetryPolicy.TWICE_ON_FAILURE);
    assertEquals(
        Map.of(
            "line/3/s/1",
            Optional.of("0.25"),
            "bind/look/up",
            Optional.of("3"),
            "level/3/look/up",
            Optional.of("0.5 twice_on_failure"),
            "level/every/look/up",
            Optional.of("0.5 twice_on_failure"),
            "out/s/1",
            Optional.of("1")),
        encode(
            new ProxyChange.RouteChange(TABLE, ENDPOINT, 0.25),
            new ProxyChange.TableAssignment(CLASS, TABLE),
            new ProxyChange.AdmissionLimitChange(TABLE, CLASS, Optional.of(limit)),
            new ProxyChange.AdmissionLimitChange(Command.ALL_TABLES, CLASS, Optional.of(limit)),
            new ProxyChange.ExclusionChange(ENDPOINT, true)));
  }

  @Test
  void describesAnUpdateByItsKeysAndValues() {
    ProxyUpdate update =
        new ProxyUpdate(
            new ProxyId(0),
            List.of(
                new ProxyChange.RouteChange(TABLE, ENDPOINT, 0.25),
                new ProxyChange.ExclusionChange(ENDPOINT, false)),
            2,
            Optional.empty(),
            0);
    assertEquals("{line/3/s/1=0.25, out/s/1=null}", codec.describe(update));
  }

  @Test
  void deletesTheKeyWhenAnElementIsRemoved() {
    assertEquals(
        Map.of(
            "line/3/s/1",
            Optional.empty(),
            "level/3/look/up",
            Optional.empty(),
            "out/s/1",
            Optional.empty()),
        encode(
            new ProxyChange.RouteChange(TABLE, ENDPOINT, 0),
            new ProxyChange.AdmissionLimitChange(TABLE, CLASS, Optional.empty()),
            new ProxyChange.ExclusionChange(ENDPOINT, false)));
  }
}
