package stonespring.recording;

import java.util.List;
import stonespring.model.EndpointRecord;

/**
 * The words for kinds of samples and states of endpoints in files. They are part of the file format
 * and stay the same when identifiers in the code are renamed.
 */
final class SampleWords {
  static final String ARRIVALS = "came";
  static final String ENDPOINT_LISTED = "listed";
  static final String PROCESS_CHANGED = "ran";
  static final String CAPACITY_CLAIMED = "claimed";
  static final String REPORTS_DELAYED = "late";

  /** The words for states, in the order of {@link EndpointRecord.State}. */
  private static final List<String> STATES = List.of("READY", "DRAINING", "GONE");

  private SampleWords() {}

  static String wordOf(EndpointRecord.State state) {
    return STATES.get(state.ordinal());
  }

  static boolean isState(String word) {
    return STATES.contains(word);
  }

  /** Returns the state that a word denotes; the word must satisfy {@link #isState}. */
  static EndpointRecord.State stateOf(String word) {
    return EndpointRecord.State.values()[STATES.indexOf(word)];
  }
}
