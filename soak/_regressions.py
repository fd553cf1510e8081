"""Seeds that failed before, with the cause; `--regressions` runs them again."""

from __future__ import annotations

REGRESSIONS = {
    2: "the check of planned stops ignored a simultaneous kill of all processes",
    19: "the port of a listener was already taken by another connection",
    27: "a stop request reached a process before it had set up its signal handlers",
    29: "same cause as seed 27",
    38: "same cause as seed 27",
    208: "open: a task started again after its end was acknowledged, seen once",
    211: "likely: two series of faults started one process at once",
}
