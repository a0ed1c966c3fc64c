package stonespring.cli;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Makes all classes of the program available without further file descriptors. Loading a class from
 * a folder opens a file; if that fails because no descriptor is free, the JVM remembers the
 * failure, and the class stays unusable for the life of the process. Classes in an archive are read
 * through the descriptor that the JVM keeps open from the first look-up in the archive.
 */
final class ClassPreloader {
  private static final String CLASS_SUFFIX = ".class";

  /** A name that no archive contains, so that a look-up opens every archive of the class path. */
  private static final String ABSENT_RESOURCE = "stonespring/absent-resource";

  private ClassPreloader() {}

  /**
   * Opens the archives of the class path, and loads all classes of the program if it runs from a
   * folder. Must be called before the first socket is opened.
   */
  static void preload() throws IOException {
    ClassLoader loader = ClassPreloader.class.getClassLoader();
    loader.getResource(ABSENT_RESOURCE);
    Path programLocation = programLocation();
    if (Files.isDirectory(programLocation)) {
      for (String className : classNamesIn(programLocation)) {
        load(className, loader);
      }
    }
  }

  private static Path programLocation() throws IOException {
    try {
      return Path.of(
          ClassPreloader.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    } catch (URISyntaxException e) {
      throw new IOException("location of the program's classes is not a valid URI", e);
    }
  }

  private static List<String> classNamesIn(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files
          .map(file -> folder.relativize(file).toString())
          .filter(file -> file.endsWith(CLASS_SUFFIX))
          .map(file -> file.substring(0, file.length() - CLASS_SUFFIX.length()))
          .map(file -> file.replace('/', '.'))
          .toList();
    }
  }

  /** Loads a class without running its static initializers. */
  private static void load(String className, ClassLoader loader) throws IOException {
    try {
      Class.forName(className, false, loader);
    } catch (ClassNotFoundException e) {
      throw new IOException("class " + className + " of the program can't be loaded", e);
    }
  }
}
