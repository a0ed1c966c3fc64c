package stonespring.recording;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import stonespring.model.DeciMillis;

/** Reads the lines of one recording, the head and then the samples, and validates them. */
final class RecordingReader {
  /**
   * Maximum duration of a recording and maximum instant of a sample: 24 hours in {@link
   * DeciMillis}.
   */
  static final long MAX_DURATION = 24 * 3600 * DeciMillis.SECOND;

  /**
   * Maximum number of samples, which limits memory: about 1.7 hours of 800 proxies sampled every
   * second.
   */
  private static final int MAX_SAMPLES = 5_000_000;

  /** Maximum number of characters in a line; the head is long because it lists every proxy. */
  private static final int MAX_LINE_LENGTH = 4 << 20;

  private static final double MAX_REQUESTS_PER_SECOND = 1e9;

  /** Field of {@link StoredSettings} that was added to version 1. */
  private static final String PROXY_TABLES_UNKNOWN = "holdingsUnknown";

  private final ObjectMapper mapper;
  private final ReadPosition position;

  RecordingReader(ObjectMapper mapper, Path file) {
    this.mapper = mapper;
    this.position = new ReadPosition(file);
  }

  Recording read(BufferedReader in) throws IOException {
    String firstLine = readLine(in);
    Recording.Head head = readHead(firstLine == null ? "" : firstLine);
    SampleReader sampleReader = new SampleReader(head, position);
    List<LoadSample> samples = new ArrayList<>();
    long lastTime = 0;
    for (String line = readLine(in); line != null; line = readLine(in)) {
      position.advanceLine();
      position.check(
          samples.size() < MAX_SAMPLES, "expected at most " + MAX_SAMPLES + " samples, found more");
      LoadSample sample = sampleReader.read(parseSample(line));
      position.check(
          sample.at() >= lastTime, "at: expected " + lastTime + " or later, found " + sample.at());
      lastTime = sample.at();
      samples.add(sample);
    }
    return new Recording(head, samples);
  }

  /** Reads a line and returns it without its line feed; returns null at the end of the file. */
  private String readLine(BufferedReader in) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (line.length() == MAX_LINE_LENGTH) {
        throw position.error("expected at most " + MAX_LINE_LENGTH + " characters, found more");
      }
      line.append((char) next);
      next = in.read();
    }
    return line.toString();
  }

  private JsonNode parseSample(String line) throws InvalidRecordingException {
    try {
      return mapper.readTree(line);
    } catch (JsonProcessingException e) {
      throw position.error("expected a JSON array, found invalid JSON");
    }
  }

  private Recording.Head readHead(String line) throws InvalidRecordingException {
    Recording.Head head;
    try {
      JsonNode stored = mapper.readTree(line);
      checkVersion(stored.path("version").asInt(-1));
      addFieldsOfLaterWriters(stored.path("settings"));
      head = mapper.treeToValue(stored, StoredHead.class).toHead();
    } catch (JsonProcessingException e) {
      throw position.error(
          "head: " + e.getOriginalMessage().lines().findFirst().orElse("expected a JSON object"));
    }
    checkSizes(head);
    checkProxies(head);
    checkRequestClasses(head);
    return head;
  }

  /**
   * Adds the fields that older files of this version lack, with the value that held when they were
   * written: instances knew the tables of every proxy.
   */
  private static void addFieldsOfLaterWriters(JsonNode settings) {
    if (settings instanceof ObjectNode object && !object.has(PROXY_TABLES_UNKNOWN)) {
      object.put(PROXY_TABLES_UNKNOWN, false);
    }
  }

  private void checkVersion(int version) throws InvalidRecordingException {
    position.check(
        version >= 0, "version: expected " + Recording.VERSION + ", found no version number");
    position.check(
        version == Recording.VERSION,
        "version: expected " + Recording.VERSION + ", found " + version);
  }

  private void checkSizes(Recording.Head head) throws InvalidRecordingException {
    int zones = head.settings().fleet().zones();
    position.check(
        head.zones().size() == zones,
        "zones: expected " + zones + " as in the settings, found " + head.zones().size());
    int requestClasses = head.settings().requestClasses().size();
    position.check(
        head.requestClasses().size() == requestClasses && !head.requestClasses().isEmpty(),
        "types: expected "
            + requestClasses
            + " request classes as in the settings, and at least 1, found "
            + head.requestClasses().size());
    position.check(
        head.sampleInterval() > 0 && head.duration() > 0 && head.duration() <= MAX_DURATION,
        "every, length: expected durations above 0 and a length of at most "
            + MAX_DURATION
            + " deci-milliseconds, found "
            + head.sampleInterval()
            + ", "
            + head.duration());
  }

  private void checkProxies(Recording.Head head) throws InvalidRecordingException {
    Set<String> names = new HashSet<>();
    for (Recording.ProxyInfo proxy : head.proxies()) {
      String proxyField = "proxies: " + proxy.name();
      position.check(
          names.add(proxy.name()), proxyField + ": expected a unique name, found a duplicate");
      position.check(
          proxy.zone() >= 0 && proxy.zone() < head.zones().size(),
          proxyField
              + ": zone: expected 0 to "
              + (head.zones().size() - 1)
              + ", found "
              + proxy.zone());
      double rate = proxy.usualRequestsPerSecond();
      position.check(
          rate >= 0 && rate < MAX_REQUESTS_PER_SECOND,
          proxyField
              + ": usualOps: expected at least 0 and less than "
              + MAX_REQUESTS_PER_SECOND
              + ", found "
              + rate);
    }
  }

  private void checkRequestClasses(Recording.Head head) throws InvalidRecordingException {
    for (Recording.RequestClassInfo requestClass : head.requestClasses()) {
      position.check(
          requestClass.serviceTime() > 0 && requestClass.timeout() > 0,
          "types: "
              + requestClass.name()
              + ": work, opTimeout: expected durations above 0 deci-milliseconds, found "
              + requestClass.serviceTime()
              + ", "
              + requestClass.timeout());
    }
  }
}
