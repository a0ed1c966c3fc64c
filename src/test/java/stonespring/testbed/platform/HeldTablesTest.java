package stonespring.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests what the soak test's proxies hold after orders, on which its checks rest. */
final class HeldTablesTest {
  private final HeldTables tables = new HeldTables(List.of("look", "buy"));

  @Test
  void changesOnlyNamedClassesUnlessAllAreMeant() {
    assertTrue(tables.isEmpty());
    tables.apply(Map.of("replace", "1", "rows", "e-1:0.5,e-2:1"));
    tables.apply(Map.of("for", "buy", "rows", "e-2:0,e-3:2"));
    assertEquals(Set.of("e-1", "e-2"), tables.usableEndpoints("look"));
    assertEquals(Set.of("e-1", "e-3"), tables.usableEndpoints("buy"));
    tables.apply(Map.of("for", "look+buy", "replace", "1", "rows", "e-4:1"));
    assertEquals(Set.of("e-4"), tables.usableEndpoints("look"));
    assertEquals(Set.of("e-4"), tables.usableEndpoints("buy"));
  }

  @Test
  void excludesEndpointsUntilTheyAreLetBack() {
    tables.apply(Map.of("rows", "e-1:1,e-2:1", "drop", "e-1"));
    assertEquals(Set.of("e-2"), tables.usableEndpoints("look"));
    tables.apply(Map.of("replace", "1", "rows", "e-1:1"));
    assertEquals(Set.of(), tables.usableEndpoints("look"), "a new table ends no exclusion");
    tables.apply(Map.of("undrop", "e-1"));
    assertEquals(Set.of("e-1"), tables.usableEndpoints("look"));
  }

  @Test
  void rejectsWhatAProxyCannotUse() {
    assertThrows(
        IllegalArgumentException.class, () -> tables.apply(Map.of("for", "other", "rows", "e:1")));
    assertThrows(IllegalArgumentException.class, () -> tables.apply(Map.of("rows", "e:-1")));
  }

  @Test
  void drawsTheSamePlanFromTheSameSeed() {
    assertEquals(SoakPlan.draw(7, 3), SoakPlan.draw(7, 3));
    assertTrue(!SoakPlan.draw(7, 3).equals(SoakPlan.draw(8, 3)));
  }
}
