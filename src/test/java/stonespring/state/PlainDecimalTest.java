package stonespring.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

final class PlainDecimalTest {
  @Test
  void formatsSmallAndLargeNumbersWithoutExponent() {
    assertEquals("0.001", PlainDecimal.format(0.001));
    assertEquals("0.00001", PlainDecimal.format(1e-5));
    assertEquals("1000000", PlainDecimal.format(1e6));
  }
}
