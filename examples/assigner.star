# Settings of one instance ("assigner") that reads its endpoint list ("tasks") from a file.
# Units are suffixes of the names: _ms milliseconds, _s seconds, _lines entries of the channel.
assigner = {
    "name": "assigner-1",
    "host": "127.0.0.1",
    "port": 7400,                   # CHP snapshots; 7401 publishes updates, 7402 collects messages from proxies
    "saved_list": "saved-list.json",
}

fleet = {
    "zones": ["west", "south", "east"],
    "proxies": 24,                  # approximate number of proxies, across all instances ("assigners")
    "assigners": 1,
    "standing_lines": 5,            # maximum number of endpoints ("tasks") in the table that a proxy starts with
    "shun_after": 3,                # a proxy ejects an endpoint after this many consecutive failures of its own attempts
}

op_types = [
    {"name": "view", "repeat": "retryable", "target_latency_ms": 500, "op_timeout_ms": 1500, "benefit": 3},
    {"name": "sketch", "repeat": "deduplicated", "target_latency_ms": 800, "op_timeout_ms": 2000, "benefit": 3},
    {"name": "extract", "repeat": "once_only", "target_latency_ms": 600, "op_timeout_ms": 1500, "benefit": 2},
]

channel = {"lines_per_s": 2900, "message_head_lines": 10, "backlog_lines": 5800, "messages_most": 30, "messages_over_s": 10}
rules = {"empty_limit_s": 5, "cold_s": 17, "cold_share": 0.17, "fall_multiple": 4}
prices = {"cross_zone": 0.12, "worst_op_type": 0.3}
reports = {"every_s": 1}
levels = "share"

tasks = {"from": "file", "path": "tasks.json"}
