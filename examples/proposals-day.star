# The scenario of bad-day.star with the weight solver's proposals enabled.
# ./stonespring day examples/proposals-day.star --seed 1
assigner = {"name": "bad-day", "port": 0}
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
    "seconds": 48,
    "ops_per_s": 250,
    "tasks_per_zone": 8,
    "proxies_per_zone": 8,
    "cores": 2,
    "work_ms": {"view": 60, "sketch": 90, "extract": 120},
    "shares": {"view": 0.6, "sketch": 0.25, "extract": 0.15},
    "grace_s": 3.4,
    "list_late_s": 0.8,
    "troubles": [
        {"kind": "lost_answers", "at_s": 1.5, "for_s": 2, "part": 0.3, "size": 0.6},
        {"kind": "deploy", "at_s": 4, "for_s": 12, "part": 0.6, "size": 0.12, "each_s": 5},
        {"kind": "silent", "at_s": 6, "for_s": 9, "part": 0.05},
        {"kind": "proxy_stall", "at_s": 9, "for_s": 5, "part": 0.15, "size": 4200, "each_s": 5},
        {"kind": "byte_by_byte", "at_s": 10, "for_s": 4, "part": 0.2},
        {"kind": "pauses", "at_s": 15, "for_s": 6, "part": 1.0, "zone": 1, "size": 250, "each_s": 1.5},
        {"kind": "assigner_crash", "at_s": 18, "for_s": 2.5, "part": 1.0},
        {"kind": "cut_in_snapshot", "at_s": 24, "part": 0.4, "size": 180},
        {"kind": "zone_cut", "at_s": 27, "for_s": 6, "zone": 2},
        {"kind": "crash", "at_s": 35, "for_s": 4, "part": 0.12},
        {"kind": "proxy_crash", "at_s": 36, "for_s": 2, "part": 0.2},
        {"kind": "half_close", "at_s": 39, "part": 0.2},
        {"kind": "reconnect", "at_s": 41, "part": 0.5},
    ],
}
