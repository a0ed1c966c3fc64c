package stonespring.proxyapi.platform;

import java.util.regex.Pattern;
import stonespring.line.LineMessage;
import stonespring.model.DeciMillis;
import stonespring.proxyapi.InvalidMessageException;

/**
 * Checked access to the fields of a message. The methods that read a required field throw {@link
 * InvalidMessageException} if the message is malformed or the field is missing or out of range.
 */
final class MessageFields {
  private static final Pattern NUMBER =
      Pattern.compile("[0-9]{1,18}(\\.[0-9]{1,18})?([eE][+-]?[0-9]{1,3})?");
  private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,18}");

  /** A longer duration indicates that the clock of the sender is wrong. */
  private static final double MAX_MILLIS = 600_000;

  private static final int MILLIS_PER_SECOND = 1000;

  private final LineMessage message;

  MessageFields(LineMessage message) {
    this.message = message;
  }

  InvalidMessageException invalid(String field, String problem) {
    return new InvalidMessageException(message.kind(), field, problem);
  }

  /**
   * Returns an exception for a field with an invalid value, which the exception message contains.
   */
  InvalidMessageException invalidValue(String field, String problem, String value) {
    return invalid(field, problem + ": " + LineMessage.printable(value));
  }

  String text(String field) {
    if (message.error().isPresent()) {
      throw new InvalidMessageException(message.kind(), message.error().get());
    }
    String value = message.fields().get(field);
    if (value == null) {
      throw invalid(field, "is missing");
    }
    return value;
  }

  /** Returns the text of a field; empty if the field is missing. */
  String optionalText(String field) {
    return message.fields().getOrDefault(field, "");
  }

  boolean flag(String field) {
    String value = text(field);
    if (!value.equals("0") && !value.equals("1")) {
      throw invalidValue(field, "is neither 0 nor 1", value);
    }
    return value.equals("1");
  }

  double number(String field, double max) {
    return number(field, text(field), max);
  }

  /** Reads a part of a field's text as a number from 0 to {@code max}. */
  double number(String field, String value, double max) {
    double number = NUMBER.matcher(value).matches() ? Double.parseDouble(value) : Double.NaN;
    if (!(number >= 0 && number <= max)) {
      throw invalidValue(field, "is not a number from 0 to " + max, value);
    }
    return number;
  }

  long wholeNumber(String field, double max) {
    String value = text(field);
    if (!WHOLE_NUMBER.matcher(value).matches()) {
      throw invalidValue(field, "is not a whole number", value);
    }
    return (long) number(field, value, max);
  }

  /** Reads a duration in milliseconds, and returns it in {@link DeciMillis}. */
  long durationDeciMillis(String field) {
    return DeciMillis.ofSeconds(number(field, MAX_MILLIS) / MILLIS_PER_SECOND);
  }

  /** Reads a duration in milliseconds, and returns it in {@link DeciMillis}; at least 1. */
  long intervalDeciMillis(String field) {
    long intervalDeciMillis = durationDeciMillis(field);
    if (intervalDeciMillis < 1) {
      throw invalid(field, "is shorter than 0.1 ms");
    }
    return intervalDeciMillis;
  }
}
