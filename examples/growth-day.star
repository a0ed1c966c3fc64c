# A fleet that nearly doubles during a surge, with delayed reports and proxies that eject failing endpoints. Demand exceeds
# capacity from the first seconds, and the endpoints that join are still warming up.
# ./stonespring day examples/growth-day.star --seed 1
load("bad-day.star", "assigner", "fleet", "op_types", "prices", "levels", "tasks", _bad = "day")

channel = {"lines_per_s": 2900, "message_head_lines": 10, "backlog_lines": 5800, "messages_most": 30, "messages_over_s": 10}
rules = {"empty_limit_s": 5, "cold_s": 17, "cold_share": 0.17, "fall_multiple": 4}
reports = {"every_s": 1}

day = _bad + {
    "seconds": 30,
    "ops_per_s": 500,
    "grace_s": 3.4,
    "list_late_s": 0.5,
    "troubles": [
        {"kind": "late_reports", "at_s": 0, "for_s": 20, "part": 1.0, "size": 2000},
        {"kind": "surge", "at_s": 0.5, "for_s": 29, "size": 3},
        {"kind": "growth", "at_s": 2, "for_s": 6, "size": 4, "each_s": 1},
    ],
}
