"""The election: which member holds the service address. No I/O, no clock, no logging but as an action.

The rules that this file lives by:

1. A *promise* is a voter's word to one member that it helps nobody else until ``Timing.lease`` has passed on
   its own clock. Votes and answers to renewals are promises. An active promise is never broken.
2. A *lease* counts from when the question was asked, not from its answer, and is shorter than the promise by
   what two clocks may differ. So while a majority's promises hold up a lease, nobody else can get a majority.
3. Whatever comes in, the first thing that is looked at is the clock: a holder whose lease has run out, be it
   that the process was stopped, withdraws before it does anything else, and late answers find a round over.
4. A vote, and to whom the promise goes, is stored before it is told. After a restart a member promises
   nothing but to whom its last promise went, until that has surely run out; without a store to nobody.
5. A term belongs to one member, by its remainder, and each candidacy takes a new one: no two claims share
   one. Its quotient is the round; a vote is for a newer round only, so ranks made of rounds grow strictly.
6. Who only would like to stand asks first (pre-vote) and changes nothing by asking, so a member that returns
   or is cut off on one side can't unseat a healthy holder.

Leases as in Gray and Cheriton, "Leases" (1989); terms, votes and pre-votes as in Ongaro, "Consensus: Bridging
Theory and Practice" (2014), sections 3.4, 6.4.1 and 9.6.
"""

from __future__ import annotations

import random
from enum import Enum

from saltcourse.address_failover.messages import (
    MOST_MEMBERS,
    Action,
    Announcer,
    Answer,
    Ask,
    Claim,
    Event,
    HandOver,
    Hold,
    Leave,
    Message,
    Note,
    Received,
    Release,
    Renew,
    Renewed,
    Seat,
    SetTimer,
    Store,
    Tell,
    Tick,
    Timing,
    Vote,
    Withdraw,
)

FOREVER = float("inf")


class Phase(Enum):
    FOLLOWING = "following"  # grants votes, waits
    ASKING = "asking"  # asks who would vote for it
    STANDING = "standing"  # asks for votes
    HOLDING = "holding"
    LEFT = "left"


class Election:
    """One member. ``stored`` is what the store returned at the start; None where nothing outlives a restart.

    ``fresh`` says that this member can't have promised anything that is still good: its first start ever, or
    one after longer than a lease. ``floor`` is a term that is surely above those forgotten (the host derives
    it from the calendar), for members without a store.
    """

    def __init__(
        self,
        seats: tuple[Seat, ...],
        me: str,
        timing: Timing,
        seed: int,
        now: float,
        stored: Vote | None = None,
        fresh: bool = False,
        floor: int = 0,
    ) -> None:
        names = [s.name for s in seats]
        if len(set(names)) != len(names):
            raise ValueError("members: a name stands twice")
        if len(names) > MOST_MEMBERS:
            raise ValueError(f"members: {MOST_MEMBERS} at most")
        if me not in names:
            raise ValueError(f"members: {me} is not among them")
        if all(s.witness for s in seats):
            raise ValueError("members: all are witnesses, so nobody could hold the address")
        self.timing, self.me, self.index = timing, me, names.index(me)
        self.seat = seats[self.index]
        self.others = [s for s in seats if s.name != me]
        self.majority = len(seats) // 2 + 1
        ranks = sorted({s.priority for s in seats if not s.witness}, reverse=True)
        self.delay = timing.step * (0 if self.seat.witness else ranks.index(self.seat.priority))
        self.random = random.Random(seed)
        self.phase = Phase.FOLLOWING
        self.vote = stored or Vote(term=floor)
        self.able = True
        self.promised, self.promised_term, self.promise_ends = "", 0, now
        # Rule 4: a promise may have been given just before the start. With a store it is known to whom.
        self.abstains_until = now if fresh else now + timing.lease
        self.allowed = self.vote.promised
        self.term = 0  # of the candidacy or the lease
        self.freed = 0  # what a leaving holder has handed over for this candidacy
        self.grants: dict[str, float] = {}  # voter -> when it was asked for what it last granted
        self.lease_ends = -FOREVER
        self.heard: dict[str, float] = {}  # member -> when it was last heard
        self.next_try = self.next_ask = self.gives_up = FOREVER
        self.began = now
        self.now = now
        self.out: list[Action] = []

    def start(self, now: float) -> list[Action]:
        """The first timer; to be called once."""
        self.now, self.out = now, []
        self._wait()
        return self._done()

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event at the host's time; what comes back is to be carried out in its order."""
        self.now, self.out = now, []
        self._look_at_clock()
        if self.phase is not Phase.LEFT:
            match event:
                case Received(sender, message):
                    self.heard[sender] = now
                    self._received(sender, message)
                case Tick():
                    self._tick()
                case Announcer(able):
                    self._announcer(able)
                case Leave():
                    self._leave()
        return self._done()

    # ---- clock ----------------------------------------------------------------------------------

    def _look_at_clock(self) -> None:
        if self.phase is Phase.HOLDING and self.now >= self.lease_ends:
            self.out.append(Note("the lease has run out"))
            self._step_down()
            self._wait()
        elif self.phase in (Phase.ASKING, Phase.STANDING) and self.now >= self.gives_up:
            self._lose()

    def _tick(self) -> None:
        if self.phase is Phase.HOLDING:
            if self.now >= self.next_ask:
                self._renew()
        elif self.phase in (Phase.ASKING, Phase.STANDING):
            if self.now >= self.next_ask:
                self._ask()
        elif self.now >= self.next_try:
            self._seek()

    def _done(self) -> list[Action]:
        if self.phase is Phase.HOLDING:
            at = min(self.next_ask, self.lease_ends)
        elif self.phase in (Phase.ASKING, Phase.STANDING):
            at = min(self.next_ask, self.gives_up)
        else:
            at = self.next_try
        if at < FOREVER:
            self.out.append(SetTimer(at))
        return self.out

    def _wait(self) -> None:
        """Follow; seek the address once each promise that stands in the way has run out, and a while more."""
        self.phase = Phase.FOLLOWING
        self.next_try = FOREVER
        if not self.seat.witness and self.able:
            clear = max(self.now, self.promise_ends, self.abstains_until)
            self.next_try = clear + self.delay + self.random.random() * self.timing.spread

    # ---- promises -------------------------------------------------------------------------------

    def _may_promise(self, member: str, freed: int = 0) -> bool:
        """Rules 1 and 4. ``freed`` is a term whose holder has given it up: its promise binds no more."""
        bound = self.now < self.promise_ends and self.promised != member
        if bound and not (freed and freed == self.promised_term and self.promised != self.me):
            return False
        return self.now >= self.abstains_until or self.allowed == member

    def _promise(self, member: str, term: int, vote: Vote) -> None:
        """``vote`` is what to remember; written only when it is new, so that renewals write nothing."""
        self.promised, self.promised_term = member, term
        self.promise_ends = self.now + self.timing.lease
        self._remember(Vote(vote.term, vote.voted, member))

    def _release(self, member: str, term: int) -> None:
        if self.promised == member and self.promised_term == term:
            self.promise_ends = min(self.promise_ends, self.now)
            if self.phase is Phase.FOLLOWING:
                self._wait()

    def _remember(self, vote: Vote) -> None:
        if vote != self.vote:
            self.vote = vote
            self.out.append(Store(vote))

    def _learn(self, term: int) -> None:
        """A newer term than any known, in which this member has not voted."""
        if term > self.vote.term:
            self._remember(Vote(term, "", self.vote.promised))

    # ---- seeking the address ----------------------------------------------------------------------

    def _new_term(self) -> int:
        """The least of this member's own terms above all that it knows (rule 5)."""
        return (self.vote.term // MOST_MEMBERS + 1) * MOST_MEMBERS + self.index

    def _seek(self) -> None:
        """Ask who would vote (rule 6)."""
        if not self._may_promise(self.me):
            self._wait()
            return
        self._begin(Phase.ASKING)

    def _begin(self, phase: Phase) -> None:
        self.phase, self.grants, self.term = phase, {}, self._new_term()
        if phase is Phase.STANDING:
            self._promise(self.me, self.term, Vote(self.term, self.me))
        self.began, self.gives_up = self.now, self.now + self.timing.ask_for
        self._ask()
        self._count()

    def _ask(self) -> None:
        """Whoever has not granted yet; an answer may have been lost."""
        self.next_ask = self.now + self.timing.ask_again
        question = Ask(self.term, self.now, self.phase is Phase.ASKING, self.freed)
        self.out += [Tell(s.name, question) for s in self.others if s.name not in self.grants]

    def _answered(self, sender: str, answer: Answer) -> None:
        wanted = {Phase.ASKING: True, Phase.STANDING: False}.get(self.phase)
        if answer.term != self.term or answer.pre is not wanted or answer.echo < self.began:
            return  # an earlier round's, perhaps: one that only asked uses up no term
        if answer.granted:
            self.grants[sender] = max(answer.echo, self.grants.get(sender, -FOREVER))
            self._count()
        elif answer.newest // MOST_MEMBERS >= self.term // MOST_MEMBERS and answer.newest != self.term:
            self._learn(answer.newest)  # the next candidacy starts above it
            self._lose()

    def _count(self) -> None:
        if len(self.grants) + 1 < self.majority:
            return
        if self.phase is Phase.ASKING:
            self._begin(Phase.STANDING)
        elif self.phase is Phase.STANDING:
            self._win()

    def _lose(self) -> None:
        """Give the round up; whoever promised something is free again."""
        if self.phase is Phase.STANDING:
            self._give_back(self.term)
        self.freed = 0
        self._wait()

    def _give_back(self, term: int) -> None:
        self.out += [Tell(s.name, Release(term)) for s in self.others]
        self._release(self.me, term)

    # ---- holding ----------------------------------------------------------------------------------

    def _win(self) -> None:
        self.freed = 0
        if self._lease() <= self.now:  # the votes took longer than they are good for
            self._lose()
            return
        self.phase = Phase.HOLDING
        self.out.append(Claim(self.term))
        self._extend()
        self._renew()

    def _lease(self) -> float:
        """When the promises of a majority, this member's own among them, may begin to run out."""
        asked = sorted(self.grants.values(), reverse=True)
        needed = self.majority - 1
        return (asked[needed - 1] if needed else self.now) + self.timing.held

    def _extend(self) -> None:
        ends = self._lease()
        if ends > self.lease_ends:
            self.lease_ends = ends
            self.out.append(Hold(ends))

    def _renew(self) -> None:
        self.next_ask = self.now + self.timing.renew
        self._promise(self.me, self.term, self.vote)
        self.out += [Tell(s.name, Renew(self.term, self.now)) for s in self.others]
        if self.majority == 1:
            self._extend()

    def _renewed(self, sender: str, message: Renewed) -> None:
        if self.phase is Phase.HOLDING and message.term == self.term:
            self.grants[sender] = max(message.echo, self.grants.get(sender, -FOREVER))
            self._extend()

    def _step_down(self) -> None:
        """Withdraw; from here on this member relies on nobody's promise."""
        self.out.append(Withdraw(self.term))
        self.lease_ends = -FOREVER
        self._give_back(self.term)

    def _hand_over(self) -> None:
        """The best of those that were lately heard stands at once; the others have been freed."""
        term = self.term
        self._step_down()
        lately = self.now - 2 * self.timing.lease
        able = [s for s in self.others if not s.witness and self.heard.get(s.name, -FOREVER) >= lately]
        if able:
            best = max(able, key=lambda s: (s.priority, self.heard[s.name]))
            self.out.append(Tell(best.name, HandOver(term)))
            self.out.append(Note(f"handed over to {best.name}"))

    def _announcer(self, able: bool) -> None:
        """Who can't announce must not hold: another member may be able to."""
        if able is self.able:
            return
        self.able = able
        if not able and self.phase is Phase.HOLDING:
            self.out.append(Note("the address can't be announced"))
            self._hand_over()
        elif not able and self.phase is Phase.STANDING:
            self._lose()
        if self.phase is not Phase.HOLDING:
            self._wait()

    def _leave(self) -> None:
        if self.phase is Phase.HOLDING:
            self._hand_over()
        elif self.phase is Phase.STANDING:
            self._give_back(self.term)
        self.phase = Phase.LEFT
        self.next_try = FOREVER

    # ---- messages ---------------------------------------------------------------------------------

    def _received(self, sender: str, message: Message) -> None:
        match message:
            case Ask():
                self._asked(sender, message)
            case Answer():
                self._answered(sender, message)
            case Renew():
                self._asked_to_renew(sender, message)
            case Renewed():
                self._renewed(sender, message)
            case Release(term):
                self._release(sender, term)
            case HandOver(term):
                self._handed(sender, term)

    def _asked(self, sender: str, ask: Ask) -> None:
        if ask.term % MOST_MEMBERS != self._index_of(sender):
            return  # rule 5: not a term of its own
        again = ask.term == self.vote.term and self.vote.voted == sender
        granted = self._may_promise(sender, 0 if ask.pre else ask.freed) and (
            ask.term // MOST_MEMBERS > self.vote.term // MOST_MEMBERS or (again and not ask.pre)
        )
        if granted and not ask.pre:
            self._promise(sender, ask.term, Vote(ask.term, sender))
            self.freed = 0
            self._wait()  # its own candidacy, if it only asked, has no vote of its own any more
        self.out.append(Tell(sender, Answer(ask.term, ask.echo, ask.pre, granted, self.vote.term)))

    def _asked_to_renew(self, sender: str, renew: Renew) -> None:
        """A holder's renewal; it may be a holder that this member did not vote for."""
        if renew.term % MOST_MEMBERS != self._index_of(sender) or not self._may_promise(sender):
            return
        if self.promised == sender and renew.term < self.promised_term:
            return  # from before its last candidacy
        self._learn(renew.term)
        self._promise(sender, renew.term, self.vote)
        self._wait()
        self.out.append(Tell(sender, Renewed(renew.term, renew.echo)))

    def _handed(self, sender: str, term: int) -> None:
        if self.seat.witness or not self.able or self.phase in (Phase.HOLDING, Phase.STANDING):
            return
        self._learn(term)
        self._release(sender, term)
        if self._may_promise(self.me):
            self.freed = term
            self._begin(Phase.STANDING)

    def _index_of(self, member: str) -> int:
        for index, seat in enumerate(self.others):
            if seat.name == member:
                return index + (index >= self.index)
        return -1


__all__ = ["Election", "Phase"]
