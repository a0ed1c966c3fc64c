package stonespring.recording;

import com.fasterxml.jackson.databind.JsonNode;

/** Decodes the samples that {@link SampleWriter} encodes, and checks the range of each value. */
final class SampleReader {
  // Positions in the array of a sample.
  private static final int KIND = 0;
  private static final int AT = 1;
  private static final int FIRST_FIELD = 2;

  private static final int MAX_REQUESTS = 10_000_000;
  private static final int MAX_CORES = 4096;
  private static final double MAX_WEIGHT = 1e9;

  /** Bounds on the speed of a core and on the multiple of a claimed capacity. */
  private static final double MIN_FACTOR = 1e-6;

  private static final double MAX_FACTOR = 1e6;

  private final Recording.Head head;
  private final ReadPosition position;
  private JsonNode row;

  SampleReader(Recording.Head head, ReadPosition position) {
    this.head = head;
    this.position = position;
  }

  LoadSample read(JsonNode sample) throws InvalidRecordingException {
    row = sample;
    position.check(
        row.isArray() && row.size() > AT,
        "expected an array of at least " + (AT + 1) + " elements");
    long at = readInteger(AT, "at", 0, RecordingReader.MAX_DURATION);
    return switch (row.get(KIND).asText()) {
      case SampleWords.ARRIVALS -> readArrivals(at);
      case SampleWords.ENDPOINT_LISTED -> readEndpointListed(at);
      case SampleWords.PROCESS_CHANGED -> readProcessChanged(at);
      case SampleWords.CAPACITY_CLAIMED -> {
        checkSize(4);
        yield new LoadSample.CapacityClaimed(
            at, readEndpointName(), readNumber(3, "times", MIN_FACTOR, MAX_FACTOR));
      }
      case SampleWords.REPORTS_DELAYED -> {
        checkSize(3);
        yield new LoadSample.ReportsDelayed(
            at, readInteger(2, "by", 0, RecordingReader.MAX_DURATION));
      }
      default -> throw position.error("kind: expected a kind of sample, found " + row.get(KIND));
    };
  }

  private LoadSample readArrivals(long at) throws InvalidRecordingException {
    int[] requests = new int[head.requestClasses().size()];
    int firstCount = FIRST_FIELD + 1;
    checkSize(firstCount + requests.length);
    for (int i = 0; i < requests.length; i++) {
      requests[i] = (int) readInteger(firstCount + i, "ops", 0, MAX_REQUESTS);
    }
    int proxy = (int) readInteger(FIRST_FIELD, "proxy", 0, head.proxies().size() - 1);
    return new LoadSample.Arrivals(at, proxy, requests);
  }

  private LoadSample readEndpointListed(long at) throws InvalidRecordingException {
    checkSize(7);
    String state = row.get(5).asText();
    position.check(
        SampleWords.isState(state), "state: expected READY, DRAINING or GONE, found " + row.get(5));
    return new LoadSample.EndpointListed(
        at,
        readEndpointName(),
        readZone(),
        readNumber(4, "weight", 0, MAX_WEIGHT),
        SampleWords.stateOf(state),
        readInteger(6, "startedAt", -RecordingReader.MAX_DURATION, RecordingReader.MAX_DURATION));
  }

  private LoadSample readProcessChanged(long at) throws InvalidRecordingException {
    checkSize(7);
    return new LoadSample.ProcessChanged(
        at,
        readEndpointName(),
        readZone(),
        (int) readInteger(4, "cores", 0, MAX_CORES),
        readNumber(5, "speed", MIN_FACTOR, MAX_FACTOR),
        row.get(6).asBoolean());
  }

  private void checkSize(int expected) throws InvalidRecordingException {
    position.check(
        row.size() == expected,
        row.get(KIND).asText() + ": expected " + expected + " elements, found " + row.size());
  }

  private String readEndpointName() throws InvalidRecordingException {
    JsonNode name = row.get(FIRST_FIELD);
    position.check(
        name.isTextual() && !name.asText().isEmpty(),
        "task: expected a non-empty string, found " + name);
    return name.asText();
  }

  private int readZone() throws InvalidRecordingException {
    return (int) readInteger(FIRST_FIELD + 1, "zone", 0, head.zones().size() - 1);
  }

  private long readInteger(int index, String field, long minimum, long maximum)
      throws InvalidRecordingException {
    JsonNode value = row.get(index);
    position.check(
        value.isIntegralNumber() && value.asLong() >= minimum && value.asLong() <= maximum,
        field + ": expected an integer from " + minimum + " to " + maximum + ", found " + value);
    return value.asLong();
  }

  private double readNumber(int index, String field, double minimum, double maximum)
      throws InvalidRecordingException {
    JsonNode value = row.get(index);
    position.check(
        value.isNumber() && value.asDouble() >= minimum && value.asDouble() <= maximum,
        field + ": expected a number from " + minimum + " to " + maximum + ", found " + value);
    return value.asDouble();
  }
}
