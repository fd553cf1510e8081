"""Decides when the advice service is asked about a step, and about which servers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from cassiaweir.dispatch._advice_budget import AdviceBudget
from cassiaweir.dispatch._advice_cache import AdviceCache
from cassiaweir.dispatch._advice_choice import exclude_servers, servers_to_ask
from cassiaweir.dispatch._gang_planner import GangPlanner
from cassiaweir.dispatch._placement import preference_key, with_interference
from cassiaweir.dispatch._server import Server
from cassiaweir.dispatch._server_search import ServerSearch
from cassiaweir.dispatch._waiting_steps import URGENT_PRIORITY, WaitingStep
from cassiaweir.scheduling import InterferenceModel
from cassiaweir.types import Clock


class AdviceQuestions:
    """Asks the advice service about waiting steps, as far as the servers have room.

    The answers are kept by the `AdviceCache`.
    """

    def __init__(
        self,
        advice: AdviceCache,
        search: ServerSearch,
        gangs: GangPlanner,
        interference: InterferenceModel,
        clock: Clock,
    ) -> None:
        self._advice = advice
        self._search = search
        self._gangs = gangs
        self._interference = interference
        self._clock = clock
        self._budget = AdviceBudget()

    def begin_round(self, usable: Iterable[Server]) -> None:
        """Begin a placement round in which tasks may be placed on `usable` servers."""
        self._budget.begin_round(usable)

    def waits_for_answer(self, waiting: WaitingStep) -> bool:
        """Return whether a step can neither start nor be asked about in this round."""
        return (
            waiting.queue.advice is not None
            and self._budget.exhausted(waiting)
            and not self._advice.tickets(waiting.step)
        )

    def is_worth_asking(self, waiting: WaitingStep, missing: int) -> bool:
        """Return whether to ask for advice about `missing` tasks of a step."""
        if missing <= 0:
            return False
        share = self._advice.allowed_share(waiting.queue.name)
        return self._budget.take(waiting, missing, share)

    def ask(
        self,
        waiting: WaitingStep,
        usable: Sequence[Server],
        servers: Sequence[Server],
        count: int,
        tickets: Mapping[str, str],
    ) -> None:
        """Ask the advice service about servers for `count` tasks of a step.

        `tickets` are the valid tickets of the step.  Servers without a valid answer are
        asked about: first those of `servers` that have room now.  If none has room,
        those of `usable` are asked about that will have room, so that the answer is
        there before the room.  For gangs, `GangPlanner` chooses.
        """
        step, policy = waiting.step, waiting.queue.advice
        gang = step.spec.gang
        if policy is None or not self._advice.may_ask(step, several=gang):
            return
        urgent = waiting.queue.priority == URGENT_PRIORITY
        rank = waiting.rank.not_urgent * 1e9 + waiting.rank.latest_start
        if gang:
            now = self._clock.monotonic()
            with_room = self._search.available(waiting, servers)
            for ids in self._gangs.servers_to_ask(
                waiting, policy, with_room, usable, count, now
            ):
                self._advice.ask(step, policy, ids, rank, urgent=urgent, several=True)
            return
        share = self._advice.allowed_share(waiting.queue.name)
        answered = self._advice.denied(step) | tickets.keys()
        found = self._search.question_candidates(waiting, servers, answered, count)
        found = with_interference(step, found, self._interference)
        found.sort(key=lambda each: preference_key(step, each))
        if not found and not tickets:
            found = exclude_servers(
                self._search.future_candidates(waiting, usable, count), answered
            )
        ids = servers_to_ask(found, count, share)
        self._advice.ask(step, policy, ids, rank, urgent=urgent)
