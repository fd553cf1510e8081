"""Where tasks may be placed while servers may forget the ends of their runs unread.

Ends are numbered from 1 in each lifetime of a server, and those up to the highest
number that was acknowledged are never listed.  A lifetime that may have received an
acknowledgement for a former one could thus run a task to its end, and nobody would ever
know.  A run there is therefore given a lease that ends before any task can be done: it
lapses, its end takes a number, and once such an end is listed, all later ones are.

The lease of a server is that of everything that runs there, and never gets shorter.
Such runs are possible only while no other lease may be in force.
"""

from __future__ import annotations

from collections.abc import Sequence

from cassiaweir.dispatch._server import Server
from cassiaweir.jobs import Isolation, Step

UNCHECKED_DELAY_S = 10.0
"""Suspected tasks wait for this time for others to check the numbers of a server.

The longest lease that it may have inherited is over some seconds before.
"""


def usable_by_numbers(
    step: Step, isolation: Isolation, servers: Sequence[Server], now: float
) -> Sequence[Server]:
    """Return those of `servers` where tasks of a step may be placed.

    A server that may forget ends is used for runs that only check its numbers, which is
    of use while no lease may be in force there.  `choose_servers` prefers the others.
    Gangs check numbers as well: nothing else may wait, and the site would stand still.
    A step whose ends need not be known may run there.  Suspected tasks may be started a
    few times only, so that they do not check numbers.  They run there in the end, at
    the risk that their ends are not listed, if no other task has checked them.
    """
    if not any(each.forgets_ends for each in servers):
        return servers
    certain = [each for each in servers if not each.forgets_ends]
    doubtful = [each for each in servers if each.forgets_ends]
    unused = [each for each in doubtful if not each.checking]
    if ends_may_be_unread(step):
        return [*certain, *unused]
    if isolation:
        oldest = now - UNCHECKED_DELAY_S
        return [*certain, *(each for each in unused if each.doubted_at <= oldest)]
    return [*certain, *(each for each in doubtful if each.may_check_numbers(now))]


def ends_may_be_unread(step: Step) -> bool:
    """Return whether no harm is done if an end of the step's tasks is never known.

    Tasks that last are started again however they end, and tasks of a speculative step
    may run more than once.
    """
    return step.spec.long_running or step.spec.speculative
