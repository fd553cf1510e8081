"""The fence that a leader's calls to one server carry, and what of them is in doubt.

A call names a server by its id and address.  A call without an answer may be carried
out seconds later, after newer ones, and by another lifetime under the same id, which
knows nothing of the former one: its clock and the numbers of its ends begin anew.  A
server refuses calls with a lower fence than the highest that it has seen in its
lifetime.  The fence of a server is therefore raised after each call without an answer
and with each new lifetime; once the server has answered a call with the raised fence,
it refuses all earlier calls.
"""

from __future__ import annotations

LATE_CALL_S = 15.0
"""Time within which a call without an answer may still be carried out."""


class CallFence:
    """The fence of the calls to the server of one id during a leader's term.

    It outlives the lifetimes of the server.  `value` is the fence that a call sent now
    carries; it never exceeds `last`.  `reported_at` is when the server last reported.
    """

    def __init__(self, first: int = 1, last: int = 1) -> None:
        self.value = first
        self._first = first
        self._last = last
        self._answered = 0
        self._required = first
        self._acknowledged_at = float("-inf")
        self._forgetful_born = 0
        self.reported_at = float("-inf")

    @property
    def exhausted(self) -> bool:
        """Whether the fence cannot be raised any more."""
        return self.value >= self._last

    @property
    def confirmed(self) -> bool:
        """Whether the present lifetime refuses all calls that were sent before it."""
        return self._answered >= self._required

    @property
    def unanswered_calls(self) -> int:
        """How often the fence was raised: for calls without an answer and restarts."""
        return self.value - self._first

    def note_answered(self, fence: int) -> None:
        """Note that the present lifetime has carried out a call with `fence`."""
        self._answered = max(self._answered, fence)

    def note_unanswered(self, fence: int) -> None:
        """Raise the fence above that of a call that may be carried out later."""
        if fence == self.value:
            self._raise()

    def begin_lifetime(self) -> None:
        """Raise the fence above all calls that may reach the new lifetime late."""
        self._raise()
        self._answered = 0
        self._required = self.value

    def supersedes(self, fence: int) -> bool:
        """Return whether a refusal of `fence` is due to a newer call of this leader."""
        return fence < self.value

    def note_acknowledgement_in_doubt(self, sent_at: float) -> None:
        """Note that an acknowledgement of ends, sent at `sent_at`, may arrive late."""
        self._acknowledged_at = max(self._acknowledged_at, sent_at)

    def acknowledgement_in_doubt(self, reported_at: float) -> bool:
        """Return whether the next lifetime may forget its ends unread.

        `reported_at` is when the former one last reported: the next one may have begun
        right after that, however late it is heard of.
        """
        return reported_at - self._acknowledged_at < LATE_CALL_S

    def note_forgetful(self, born: int, *, forgets: bool) -> None:
        """Note whether the lifetime `born` may forget its ends unread."""
        if forgets:
            self._forgetful_born = born
        elif self._forgetful_born == born:
            self._forgetful_born = 0

    def is_forgetful(self, born: int) -> bool:
        """Return whether that is known of the lifetime `born`, 0 for an unknown one."""
        return born != 0 and self._forgetful_born == born

    def _raise(self) -> None:
        self.value = min(self.value + 1, self._last)


class CallFences:
    """The fences of all servers that a leader calls during its term, by id.

    They are kept for servers that have left, as calls to them may still be on the way.
    """

    def __init__(self, first: int, last: int) -> None:
        self._first = first
        self._last = last
        self._fences: dict[str, CallFence] = {}

    def of(self, server_id: str) -> CallFence:
        """Return the fence of the calls to a server."""
        fence = self._fences.get(server_id)
        if fence is None:
            fence = self._fences[server_id] = CallFence(self._first, self._last)
        return fence

    def knows(self, server_id: str) -> bool:
        """Return whether a server of this id was called before."""
        return server_id in self._fences

    @property
    def exhausted(self) -> bool:
        """Whether the fence of a server cannot be raised any more."""
        return any(fence.exhausted for fence in self._fences.values())
