# A zone fails and returns with its endpoints warming up; the weight solver's proposals are enabled.
# ./stonespring day examples/lost-zone-day.star --seed 1
assigner = {"name": "lost-zone-day", "port": 0}
fleet = {"zones": ["west", "south", "east"], "proxies": 24, "assigners": 1, "standing_lines": 5, "shun_after": 3}
op_types = [
    {"name": "view", "repeat": "retryable", "target_latency_ms": 500, "op_timeout_ms": 1500, "benefit": 3},
    {"name": "sketch", "repeat": "deduplicated", "target_latency_ms": 800, "op_timeout_ms": 2000, "benefit": 3},
    {"name": "extract", "repeat": "once_only", "target_latency_ms": 600, "op_timeout_ms": 1500, "benefit": 2},
]
channel = {"lines_per_s": 2900, "message_head_lines": 10, "backlog_lines": 2900, "messages_most": 30, "messages_over_s": 10}
rules = {"empty_limit_s": 5, "cold_s": 8, "cold_share": 0.17, "fall_multiple": 2}
prices = {"cross_zone": 0.12, "worst_op_type": 0.3}
reports = {"every_s": 0.5}
levels = "share"
proposals = True
tasks = {"from": "registry", "port": 1, "service": "tasks", "wait_s": 5}

day = {
    "seconds": 40,
    "ops_per_s": 250,
    "tasks_per_zone": 8,
    "proxies_per_zone": 8,
    "cores": 2,
    "work_ms": {"view": 60, "sketch": 90, "extract": 120},
    "shares": {"view": 0.6, "sketch": 0.25, "extract": 0.15},
    "grace_s": 3.4,
    "list_late_s": 0.8,
    "troubles": [
        {"kind": "zone_loss", "at_s": 14, "for_s": 10, "zone": 0, "size": 0.3},
    ],
}
