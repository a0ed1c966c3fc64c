package stonespring.recording;

import java.util.List;
import stonespring.model.EndpointRecord;

/** The words that stand for samples and states in files; they do not follow renames of the code. */
final class SampleWords {
  static final String ARRIVALS = "came";
  static final String ENDPOINT_LISTED = "listed";
  static final String PROCESS_CHANGED = "ran";
  static final String CAPACITY_CLAIMED = "claimed";
  static final String REPORTS_DELAYED = "late";

  /** In the order of {@link EndpointRecord.State}. */
  private static final List<String> STATES = List.of("READY", "DRAINING", "GONE");

  private SampleWords() {}

  static String wordOf(EndpointRecord.State state) {
    return STATES.get(state.ordinal());
  }

  static boolean isState(String word) {
    return STATES.contains(word);
  }

  /** The state of a word for which {@link #isState} holds. */
  static EndpointRecord.State stateOf(String word) {
    return EndpointRecord.State.values()[STATES.indexOf(word)];
  }
}
