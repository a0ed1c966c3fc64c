# Every kind of fault ("trouble") once, one after the other and each for a short time, on the fleet of bad-day.star.
# ./stonespring day examples/every-trouble.star --seed 1
load("bad-day.star", "assigner", "fleet", "op_types", "channel", "rules", "prices", "reports", "levels", "tasks", _bad = "day")

_sizes = {"fast_errors": 0.5, "lost_answers": 0.5, "pauses": 200, "op_type_fails": 1, "false_reports": 0.3, "slow_handshakes": 3, "deploy": 0.1, "taken_in_waves": 1500, "growth": 2, "surge": 1.4, "impatience": 0.6, "late_reports": 1500, "slow_channel": 20, "cut_in_snapshot": 150, "proxy_stall": 800, "assigner_stall": 700}
_kinds = ["crash", "silent", "fast_errors", "lost_answers", "pauses", "flapping", "op_type_fails", "false_reports", "slow_handshakes", "zone_cut",
          "deploy", "taken_in_waves", "shrink", "growth", "surge", "impatience", "wrong_list", "registry_dead",
          "late_reports", "slow_channel", "reconnect", "byte_by_byte", "half_close", "cut_in_snapshot", "proxy_crash", "proxy_stall", "assigner_crash", "assigner_stall", "zone_loss"]

day = _bad + {
    "seconds": 3 * len(_kinds) + 8,
    "troubles": [
        {"kind": k, "at_s": 2 + 3 * i, "for_s": 2.5, "part": 0.15, "size": get(_sizes, k, 1), "each_s": 1.2, "zone": 2 if k in ["zone_cut", "zone_loss"] else -1}
        for i, k in enumerate(_kinds)
    ],
}
