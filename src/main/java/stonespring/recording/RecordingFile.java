package stonespring.recording;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import stonespring.model.EndpointRecord;

/**
 * Recordings as files: gzip over lines of JSON, the head first as an object, then each moment as an
 * array of its kind, its time and its fields. What can't be read is told with its line and field;
 * nothing of such a file is used.
 */
public final class RecordingFile {
  /** A file that is no recording, or none that this code reads. */
  public static final class Bad extends IOException {
    private static final long serialVersionUID = 1;

    Bad(Path file, long line, String what) {
      super(file + ", line " + line + ": " + what);
    }
  }

  /** The file's words, in the order of {@link EndpointRecord.State}. */
  private static final List<String> STATES = List.of("READY", "DRAINING", "GONE");

  private static final int MOMENTS_MOST =
      5_000_000; // a day of 800 proxies, every second, in well under an hour
  private static final int LINE_MOST = 4 << 20; // characters; the head names every proxy
  private static final long END = 36_000_000L * 24; // 0.1 ms; a day
  private static final ObjectMapper JSON =
      new ObjectMapper()
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);

  private RecordingFile() {}

  /** Writes beside and renames, so that nobody finds half a recording. */
  public static void write(Recording recording, Path file) throws IOException {
    Path beside = file.resolveSibling(file.getFileName() + ".part");
    try (BufferedWriter out =
        new BufferedWriter(
            new OutputStreamWriter(
                new GZIPOutputStream(Files.newOutputStream(beside)), StandardCharsets.UTF_8))) {
      out.write(JSON.writeValueAsString(StoredHead.of(recording.head())));
      out.write('\n');
      for (LoadSample moment : recording.moments()) {
        out.write(JSON.writeValueAsString(row(moment)));
        out.write('\n');
      }
    }
    Files.move(beside, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  private static ArrayNode row(LoadSample moment) {
    ArrayNode row = JSON.createArrayNode();
    if (moment instanceof LoadSample.Came m) {
      row.add("came").add(m.at()).add(m.proxy());
      for (int ops : m.ops()) {
        row.add(ops);
      }
    } else if (moment instanceof LoadSample.Listed m) {
      row.add("listed")
          .add(m.at())
          .add(m.task())
          .add(m.zone())
          .add(m.weight())
          .add(STATES.get(m.state().ordinal()))
          .add(m.startedAt());
    } else if (moment instanceof LoadSample.Ran m) {
      row.add("ran")
          .add(m.at())
          .add(m.task())
          .add(m.zone())
          .add(m.cores())
          .add(m.speed())
          .add(m.cold());
    } else if (moment instanceof LoadSample.Claimed m) {
      row.add("claimed").add(m.at()).add(m.task()).add(m.times());
    } else if (moment instanceof LoadSample.Late m) {
      row.add("late").add(m.at()).add(m.by());
    }
    return row;
  }

  /**
   * @throws Bad with the place, where it is no recording of this version
   */
  public static Recording read(Path file) throws IOException {
    try (BufferedReader in =
        new BufferedReader(
            new InputStreamReader(
                new GZIPInputStream(Files.newInputStream(file)), StandardCharsets.UTF_8))) {
      return new Reading(file).all(in);
    } catch (java.util.zip.ZipException | java.io.EOFException e) {
      throw new Bad(file, 0, "is cut short, or not packed by gzip");
    }
  }

  /** One file on its way in. */
  private static final class Reading {
    private final Path file;
    private long line = 1;
    private Recording.Head head;
    private JsonNode row;

    Reading(Path file) {
      this.file = file;
    }

    Bad bad(String what) {
      return new Bad(file, line, what);
    }

    Recording all(BufferedReader in) throws IOException {
      String first = next(in);
      head(first == null ? "" : first);
      List<LoadSample> moments = new ArrayList<>();
      long last = 0;
      for (String text = next(in); text != null; text = next(in)) {
        line++;
        if (moments.size() == MOMENTS_MOST) {
          throw bad("more than " + MOMENTS_MOST + " moments");
        }
        LoadSample moment = moment(text);
        if (moment.at() < last) {
          throw bad("at: goes back to " + moment.at());
        }
        last = moment.at();
        moments.add(moment);
      }
      return new Recording(head, moments);
    }

    private String next(BufferedReader in) throws IOException {
      StringBuilder text = new StringBuilder();
      int c = in.read();
      if (c < 0) {
        return null;
      }
      for (; c >= 0 && c != '\n'; c = in.read()) {
        if (text.length() == LINE_MOST) {
          throw bad("is longer than " + LINE_MOST + " characters");
        }
        text.append((char) c);
      }
      return text.toString();
    }

    private void head(String text) throws Bad {
      try {
        int version = JSON.readTree(text).path("version").asInt(-1);
        if (version != Recording.VERSION) {
          throw bad(
              "version: "
                  + (version < 0
                      ? "missing"
                      : version + ", this program reads " + Recording.VERSION));
        }
        head = JSON.readValue(text, StoredHead.class).toHead();
      } catch (JsonProcessingException e) {
        throw bad(e.getOriginalMessage().lines().findFirst().orElse("no head"));
      }
      check(
          head.zones().size() == head.settings().fleet().zones(),
          "zones: "
              + head.zones().size()
              + ", the settings have "
              + head.settings().fleet().zones());
      check(
          head.types().size() == head.settings().requestClasses().size() && !head.types().isEmpty(),
          "types: "
              + head.types().size()
              + ", the settings have "
              + head.settings().requestClasses().size());
      check(
          head.every() > 0 && head.length() > 0 && head.length() <= END,
          "every, length: " + head.every() + ", " + head.length());
      Set<String> names = new HashSet<>();
      for (Recording.Proxy p : head.proxies()) {
        check(names.add(p.name()), "proxies: " + p.name() + " comes twice");
        check(
            p.zone() >= 0 && p.zone() < head.zones().size(),
            "proxies: " + p.name() + " is in zone " + p.zone());
        check(
            p.usualOps() >= 0 && p.usualOps() < 1e9,
            "proxies: " + p.name() + " gets " + p.usualOps());
      }
      for (Recording.Type t : head.types()) {
        check(
            t.work() > 0 && t.opTimeout() > 0,
            "types: " + t.name() + ": work " + t.work() + ", op timeout " + t.opTimeout());
      }
    }

    private void check(boolean holds, String what) throws Bad {
      if (!holds) {
        throw bad(what);
      }
    }

    private LoadSample moment(String text) throws Bad {
      try {
        row = JSON.readTree(text);
      } catch (JsonProcessingException e) {
        throw bad("no JSON");
      }
      check(row.isArray() && row.size() > 1, "no row");
      long at = whole(1, "at", 0, END);
      return switch (row.get(0).asText()) {
        case "came" -> {
          int[] ops = new int[head.types().size()];
          size(3 + ops.length);
          for (int k = 0; k < ops.length; k++) {
            ops[k] = (int) whole(3 + k, "ops", 0, 10_000_000);
          }
          yield new LoadSample.Came(at, (int) whole(2, "proxy", 0, head.proxies().size() - 1), ops);
        }
        case "listed" -> {
          size(7);
          check(STATES.contains(row.get(5).asText()), "state: " + row.get(5));
          yield new LoadSample.Listed(
              at,
              name(),
              zone(),
              number(4, "weight", 0, 1e9),
              EndpointRecord.State.values()[STATES.indexOf(row.get(5).asText())],
              whole(6, "startedAt", -END, END));
        }
        case "ran" -> {
          size(7);
          yield new LoadSample.Ran(
              at,
              name(),
              zone(),
              (int) whole(4, "cores", 0, 4096),
              number(5, "speed", 1e-6, 1e6),
              row.get(6).asBoolean());
        }
        case "claimed" -> {
          size(4);
          yield new LoadSample.Claimed(at, name(), number(3, "times", 1e-6, 1e6));
        }
        case "late" -> {
          size(3);
          yield new LoadSample.Late(at, whole(2, "by", 0, END));
        }
        default -> throw bad("kind: " + row.get(0));
      };
    }

    private void size(int wanted) throws Bad {
      check(
          row.size() == wanted, row.get(0).asText() + ": " + row.size() + " fields, not " + wanted);
    }

    private String name() throws Bad {
      check(row.get(2).isTextual() && !row.get(2).asText().isEmpty(), "task: " + row.get(2));
      return row.get(2).asText();
    }

    private int zone() throws Bad {
      return (int) whole(3, "zone", 0, head.zones().size() - 1);
    }

    private long whole(int at, String field, long least, long most) throws Bad {
      JsonNode node = row.get(at);
      check(
          node.isIntegralNumber() && node.asLong() >= least && node.asLong() <= most,
          field + ": " + node);
      return node.asLong();
    }

    private double number(int at, String field, double least, double most) throws Bad {
      JsonNode node = row.get(at);
      check(
          node.isNumber() && node.asDouble() >= least && node.asDouble() <= most,
          field + ": " + node);
      return node.asDouble();
    }
  }
}
