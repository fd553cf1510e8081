"""Seeds that failed before, with the cause; `--regressions` runs them again."""

from __future__ import annotations

REGRESSIONS = {
    1: "issue 59: a late call of a former leader reached another lifetime",
    2: "the check of planned stops ignored a simultaneous kill of all processes",
    3: "same cause as seed 1",
    19: "the port of a listener was already taken by another connection",
    27: "a stop request reached a process before it had set up its signal handlers",
    29: "same cause as seed 27",
    38: "same cause as seed 27",
    208: "likely: the relay passed a start on to the next lifetime of its server",
    211: "likely: two series of faults started one process at once",
    524: "likely: same cause as seed 208",
    536: "likely: same cause as seed 208",
}
