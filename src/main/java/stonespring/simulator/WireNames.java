package stonespring.simulator;

/**
 * The names in the simulator's protocol. The simulator defines them, so that they stay the same
 * when identifiers in the code are renamed.
 */
final class WireNames {
  /** Fields of a batch and of a reply. */
  static final class Batch {
    static final String TIME_SECONDS = "tS";
    static final String SEQUENCE = "seq";
    static final String PARTS = "parts";
    static final String INSTANCE = "i";
    static final String MESSAGES = "msgs";
    static final String COMMANDS = "decisions";

    private Batch() {}
  }

  /** Names of the messages that the simulator sends. */
  static final class Message {
    static final String START = "boot";
    static final String STOP = "down";
    static final String ENDPOINT_LIST = "ledger";
    static final String ENDPOINT_LIST_UPDATE = "endpoints";
    static final String PEER_MESSAGE = "heard";
    static final String PROXY_REQUEST_RATE = "traffic";
    static final String SHARD_REQUEST_RATE = "pressure";
    static final String SHARD_ROUTE = "ledgerLine";
    static final String SHARD_OWNERSHIP = "given";
    static final String TIMER_FIRED = "alarm";
    static final String UPDATE_ACKNOWLEDGED = "acked";
    static final String HEALTH_CHECK_RESULT = "echo";
    static final String PROXY_DISCONNECTED = "disconnected";
    static final String PROXY_CONNECTED = "joined";
    static final String ENDPOINT_OUTCOMES = "observed";

    private Message() {}
  }

  /** Names of the messages' fields, used only in error messages: values are read by position. */
  static final class Field {
    static final String SEED = "salt";
    static final String SETTINGS = "facts";
    static final String LIST_NUMBER = "setId";
    static final String LIST_ENTRIES = "membersList";
    static final String UPDATE_KIND = "mode";
    static final String PEER = "sender";
    static final String BYTES = "data";
    static final String PROXY = "clientLb";
    static final String ROUTE_TABLE = "sheet";
    static final String REQUEST_CLASS = "class";
    static final String ENDPOINT = "task";
    static final String ZONE = "regionPart";
    static final String WEIGHT = "w";
    static final String REQUESTS_PER_SECOND = "w";
    static final String STATE = "state";
    static final String STARTED_AT_SECONDS = "launchedS";
    static final String REQUESTS = "total";
    static final String FAILURES = "errors";
    static final String INTERVAL_SECONDS = "periodLenS";
    static final String DURATION_SECONDS = "durationS";
    static final String TIMER_TOKEN = "token";
    static final String ACK = "version";
    static final String OWNED = "yes";
    static final String WITHOUT_TABLES = "yes";
    static final String STATUS = "status";
    static final String LOAD_REPORT = "report";

    private Field() {}
  }

  /** Fields of an endpoint's load report, which is a JSON object. */
  static final class LoadField {
    static final String UTILIZATION = "utilization";
    static final String QUEUE_LENGTH = "backlog";
    static final String IN_FLIGHT = "outstanding";
    static final String SERVICE_TIME_MILLIS = "recent_ms";
    static final String REQUESTS_PER_SECOND = "throughput";

    private LoadField() {}
  }

  /** Kinds of updates of the endpoint list. */
  static final class UpdateKind {
    static final String DELTA = "patch";
    static final String SNAPSHOT = "whole";
    static final String CACHED = "stale_copy";
    static final String FETCH_FAILED = "broken";

    private UpdateKind() {}
  }

  /** States of an endpoint. */
  static final class EndpointState {
    static final String READY = "up";
    static final String DRAINING = "draining";
    static final String REMOVED = "removed";

    private EndpointState() {}
  }

  /** Names of the commands. */
  static final class CommandName {
    static final String START_TIMER = "defer";
    static final String FETCH_ENDPOINTS = "fetch";
    static final String WATCH_ENDPOINTS = "follow";
    static final String SET_ROUTE = "setLine";
    static final String CLEAR_ROUTE_TABLE = "blank";
    static final String ASSIGN_ROUTE_TABLE = "pin";
    static final String EXCLUDE_ENDPOINT = "pull";
    static final String LIMIT_ADMISSION = "valve";
    static final String REQUEST_ACK = "barrier";
    static final String HEALTH_CHECK = "askLoad";
    static final String SEND_TO_PEER = "writePeer";
    static final String LOG = "trace";
    static final String FAILURE = "fatal";

    private CommandName() {}
  }

  private WireNames() {}
}
