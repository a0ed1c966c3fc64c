package stonespring.state;

import java.math.BigDecimal;

/** Numbers as the proxies' protocols write them. */
public final class PlainDecimal {
  private PlainDecimal() {}

  /** Writes a finite number as a plain decimal, never with an exponent. */
  public static String format(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }
}
