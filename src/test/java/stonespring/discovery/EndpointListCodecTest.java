package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class EndpointListCodecTest {
  @Test
  void namesEntryAndFieldWhenListIsInvalid() {
    for (String[] testCase :
        new String[][] {
          {"{}", "expected a JSON array of at most 50000 endpoints"},
          {"[1]", "entry 0: expected a JSON object, found NUMBER"},
          {"[{\"id\":\"a/b\"}]", "entry 0: field 'id'"},
          {"[{\"id\":\"a\",\"address\":\"h\"}]", "field 'address'"},
          {
            "[{\"id\":\"a\",\"address\":\"h:1\",\"zone\":\"x\"}]",
            "field 'zone' must name a configured zone, found: x"
          },
          {
            "[{\"id\":\"a\",\"address\":\"h:1\",\"zone\":\"east\",\"state\":\"up\"}]",
            "field 'state' must be 'ready' or 'draining', found \"up\""
          },
          {
            "[{\"id\":\"a\",\"address\":\"h:1\",\"zone\":\"east\",\"weight\":0}]",
            "field 'weight' must be a number above 0 and below 1000000.0, found 0"
          },
          {"[", "line 1"}
        }) {
      InvalidEndpointListException e =
          assertThrows(
              InvalidEndpointListException.class,
              () -> EndpointLists.codec().read(testCase[0].getBytes(StandardCharsets.UTF_8)));
      assertTrue(e.getMessage().contains(testCase[1]), e.getMessage());
    }
  }
}
