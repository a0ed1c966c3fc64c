package stonespring.config.script;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads, parses and executes files, each of them once. */
final class ScriptLoader {
  private static final int MAX_FILE_BYTES = 1 << 20;

  /** The largest number of files in a chain in which each file loads the next. */
  private static final int MAX_LOAD_DEPTH = 16;

  private final List<SettingsError> errors = new ArrayList<>();
  private final Map<Path, Map<String, Object>> globalsByPath = new HashMap<>();
  private final Set<Path> loading = new HashSet<>();
  private final ExecutionLimits limits;
  private final StatementExecutor executor;

  /** Creates a loader for the files of one script; {@code startOfFile} is its first location. */
  ScriptLoader(SourceLocation startOfFile) {
    this.limits = new ExecutionLimits(startOfFile);
    this.executor = new StatementExecutor(this, limits);
  }

  /**
   * Loads a file and returns its globals, in order of assignment.
   *
   * @param from the location at which errors in reading the file are reported
   * @throws EvaluationException if the file cannot be read or its execution fails; syntax errors
   *     are added to {@link #errors} instead, and the returned globals are then empty
   */
  Map<String, Object> load(Path file, SourceLocation from) {
    Path path = file.toAbsolutePath().normalize();
    Map<String, Object> loaded = globalsByPath.get(path);
    if (loaded != null) {
      return loaded;
    }
    if (!loading.add(path) || loading.size() > MAX_LOAD_DEPTH) {
      throw new EvaluationException(
          from,
          "load: "
              + file
              + " loads itself, directly or through other files, or loads are nested more than "
              + MAX_LOAD_DEPTH
              + " files deep");
    }
    List<Statement> statements = parse(file, read(file, path, from));
    Map<String, Object> globals = new LinkedHashMap<>();
    if (errors.isEmpty()) {
      executor.run(statements, Scope.ofFile(path, globals));
    }
    loading.remove(path);
    globalsByPath.put(path, globals);
    return globals;
  }

  private static String read(Path file, Path path, SourceLocation from) {
    try {
      if (Files.size(path) > MAX_FILE_BYTES) {
        throw new EvaluationException(
            from, "cannot read " + file + ": it is larger than " + MAX_FILE_BYTES + " bytes");
      }
      return Files.readString(path);
    } catch (NoSuchFileException e) {
      throw new EvaluationException(from, "cannot read " + file + ": the file does not exist");
    } catch (IOException e) {
      throw new EvaluationException(from, "cannot read " + file + ": " + e.getMessage());
    }
  }

  private List<Statement> parse(Path file, String text) {
    List<Token> tokens = new Lexer(file.toString(), text, errors).tokenize();
    return new StatementParser(tokens, errors).parse();
  }

  /** The location of the latest executed step. */
  SourceLocation lastLocation() {
    return limits.lastLocation();
  }

  /** The lexical and syntax errors of all files. */
  List<SettingsError> errors() {
    return errors;
  }

  /**
   * The location at which a name was last assigned at the top level of a file, or the given
   * location if it was not.
   */
  SourceLocation locationOf(String name, SourceLocation defaultLocation) {
    return executor.locationOf(name, defaultLocation);
  }
}
