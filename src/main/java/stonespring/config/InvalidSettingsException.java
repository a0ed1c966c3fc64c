package stonespring.config;

/** A field of the operators' settings object can't be used; the message names it. */
public final class InvalidSettingsException extends RuntimeException {
  private static final long serialVersionUID = 1;
  private final String field;

  InvalidSettingsException(String field, String problem) {
    super("field '" + field + "' " + problem, null, false, false);
    this.field = field;
  }

  /** The field's name, without those of the objects around it. */
  public String field() {
    return field;
  }
}
