"""Intervals and timeouts of the membership protocol, with their reasons."""

import attrs


@attrs.frozen
class MembershipBounds:
    """All in seconds.

    round_s: one exchange per round. Counting the rounds of its peers, a
        member then takes part in about six exchanges per second, and a news
        item reaches a region of 72 members in about two seconds; see
        docs/CAPACITY.md.
    urgent_interval_s: pause after an urgent round. It doubles up to
        max_urgent_interval_s while further changes arrive, so that a burst
        of changes adds four exchanges per second to a member instead of
        forty.
    settle_s: how long the incarnation of a process stays provisional after
        it was told of earlier processes of its name, so that what only a few
        members knew reaches it.
    join_interval_s: pause between two unknown contacts until then; some
        addresses in the directory belong to processes that are gone.
    join_timeout_s: a process stops waiting for a member that knows the fleet
        if all that it met for this long had just started too.
    probe_timeout_s: a peer in the region answers within milliseconds; half
        a second allows for a busy event loop.
    suspicion_s: how long a suspect has to refute the suspicion. A process
        paused for less than pause_bound_s is never declared dead: it is
        suspected no earlier than one probe timeout after the pause began,
        and refutes in the round in which it resumes.
    refused_suspicion_s: suspicion time when the host refuses the connection.
        A pause can't explain a refusal, so the process has exited; this
        leaves time to learn of a restart.
    contest_interval_s: a member is suspected this often while a process of an
        earlier incarnation uses its name. A member that lives refutes each
        time, and has the whole suspicion time for it.
    isolation_s: a process that has had no contact for this long
        considers itself cut off.
    region_silence_s: no reachable member has contacted a region for this
        long. Its members are reported as suspect, but are not declared
        dead, since members of that region know their state better.
    max_tick_gap_s: a longer time between two ticks means that this process
        was paused, so its own timers are no evidence about others.
    dead_retention_s: how long dead members are kept and retried; longer
        than the one-hour partition between regions that is tolerated.
    """

    round_s: float = 0.35
    remote_interval_s: float = 4.0
    reconnect_interval_s: float = 5.0
    urgent_interval_s: float = 0.1
    max_urgent_interval_s: float = 1.0
    settle_s: float = 2.0
    join_interval_s: float = 0.5
    join_timeout_s: float = 30.0
    probe_timeout_s: float = 0.5
    suspicion_s: float = 5.0
    refused_suspicion_s: float = 1.5
    pause_bound_s: float = 4.0
    contest_interval_s: float = 10.0
    isolation_s: float = 4.0
    region_silence_s: float = 15.0
    max_tick_gap_s: float = 1.5
    dead_retention_s: float = 7200.0


DEFAULT_BOUNDS = MembershipBounds()
