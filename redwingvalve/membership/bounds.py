"""The times by which members are judged, with the grounds for each."""

import attrs


@attrs.frozen
class MembershipBounds:
    """All in seconds.

    round_s: one exchange a round. A member is then met about six times a
        second, by its own rounds and by others', and an item of news crosses
        a region of 72 in about two seconds; see docs/CAPACITY.md.
    eager_interval_s: pause after an urgent round, doubled up to the longest
        while there is more to pass on, so that a storm adds four exchanges a
        second to a member and not forty.
    probe_timeout_s: a peer in the region answers in milliseconds; half a
        second covers a busy loop.
    suspicion_s: time for a suspect to refute. A process that is paused for
        less than pause_bound_s is never declared dead: it is suspected one
        probe timeout after its pause began at the earliest, and refutes in
        the round in which it resumes.
    refused_suspicion_s: the host refuses the connection, so that the process
        is gone and no pause can explain it; time for a restart to be heard.
    isolation_s: heard from nobody for so long, a process is cut off.
    region_silence_s: nobody whose word arrives has met a region for so long;
        its members are shown as suspect but are not declared dead, since
        whoever is in the region knows better.
    gap_s: between two ticks; more means that this process was paused, and
        its own timers prove nothing.
    dead_keep_s: how long the dead are remembered and tried again; more than
        the hour for which regions lose each other.
    """

    round_s: float = 0.35
    remote_interval_s: float = 4.0
    reconnect_interval_s: float = 5.0
    urgent_interval_s: float = 0.1
    max_urgent_interval_s: float = 1.0
    probe_timeout_s: float = 0.5
    suspicion_s: float = 5.0
    refused_suspicion_s: float = 1.5
    pause_bound_s: float = 4.0
    isolation_s: float = 4.0
    region_silence_s: float = 15.0
    max_tick_gap_s: float = 1.5
    dead_retention_s: float = 7200.0


DEFAULT_BOUNDS = MembershipBounds()
