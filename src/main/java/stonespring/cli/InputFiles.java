package stonespring.cli;

import java.io.IOException;
import java.nio.file.Path;
import stonespring.config.InstanceSettings;
import stonespring.config.script.ScriptException;
import stonespring.recording.InvalidRecordingException;
import stonespring.recording.Recording;
import stonespring.recording.RecordingFile;

/** Reads the kinds of input files that several commands share; an invalid file is a usage error. */
final class InputFiles {
  private InputFiles() {}

  /** Reads a settings script; error messages list all its errors. */
  static InstanceSettings readSettings(Path file) throws CommandFailedException {
    try {
      return InstanceSettings.read(file);
    } catch (ScriptException e) {
      throw CommandFailedException.usage("settings:\n" + e.getMessage(), e);
    }
  }

  /**
   * Reads a recorded load.
   *
   * @param command name of the command for error messages
   */
  static Recording readRecording(String command, Path file)
      throws CommandFailedException, IOException {
    try {
      return RecordingFile.read(file);
    } catch (InvalidRecordingException e) {
      throw CommandFailedException.usage(command + ": " + e.getMessage(), e);
    }
  }
}
