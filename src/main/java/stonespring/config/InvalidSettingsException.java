package stonespring.config;

/**
 * Thrown when a field of the operators' settings object is missing or invalid. The message names
 * the field.
 */
public final class InvalidSettingsException extends RuntimeException {
  private static final long serialVersionUID = 1;
  private final String field;

  InvalidSettingsException(String field, String problem) {
    super("field '" + field + "' " + problem, null, false, false);
    this.field = field;
  }

  /** The name of the field, without the names of the objects that contain it. */
  public String field() {
    return field;
  }
}
