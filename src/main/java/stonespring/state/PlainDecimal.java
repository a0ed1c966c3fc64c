package stonespring.state;

import java.math.BigDecimal;

/** The number format of the protocols to the proxies. */
public final class PlainDecimal {
  private PlainDecimal() {}

  /** Formats a finite number as a decimal without exponent or trailing zeros. */
  public static String format(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }
}
