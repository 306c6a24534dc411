"""Which endpoints that broke off requests are to be asked whether they live.

Load pattern: answers get lost at many endpoints, most of which answer something
else soon. So a single run waits for that, and one of a suspect that has broken
off elsewhere doesn't. A process may end seconds after the connection, and is
asked again, ever less often the longer it has lived on, so that its end is
known after a share of that time.
"""

from redwingvalve.ingress import broken_runs, open_ends, poison

# Most endpoints have answered another request by then.
PROBE_DELAY_S = 0.5
# Between two probes of an endpoint that doesn't answer; doubles with each one.
MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 8.0
# From the last answer of an endpoint to the next probe, as a share of the time
# from the break to that answer.
SIGN_AGE_SHARE = 0.25


def is_due(
    tracker: poison.PoisonRequestTracker,
    incarnation: broken_runs.Incarnation,
    now_s: float,
) -> bool:
    """Return whether an endpoint is to be asked, by its runs and answers."""
    return (
        any(
            _is_run_due(tracker, run, now_s)
            for run in tracker.evidence.runs_at(incarnation)
        )
        or any(
            now_s - end.run.at_s > open_ends.PART_SURVIVAL_S
            for end in tracker.open_ends.at_endpoint(incarnation)
        )
        or any(
            _is_request_due(tracker, end, now_s)
            for end in tracker.open_requests.at_endpoint(incarnation)
        )
    )


def _is_run_due(
    tracker: poison.PoisonRequestTracker,
    run: broken_runs.BrokenRun,
    now_s: float,
) -> bool:
    evidence = tracker.evidence
    if evidence.signs.is_doubtful(run):
        lived_s = evidence.signs.lived_s(run)
        silent_s = now_s - run.at_s - lived_s
        return silent_s >= _interval_s(lived_s) and evidence.is_watched(run)
    return evidence.is_repeated(run) or now_s - run.at_s >= PROBE_DELAY_S


def _is_request_due(
    tracker: poison.PoisonRequestTracker,
    end: open_ends.OpenEnd,
    now_s: float,
) -> bool:
    if now_s - end.alive_s < _interval_s(end.lived_s):
        return False
    request = end.run.fingerprint
    copies = tracker.open_requests.copies(request)
    return copies > 1 or tracker.blame.end_count(request) > 0


def _interval_s(lived_s: float) -> float:
    """Return when to ask an endpoint again that has lived on for so long."""
    interval_s = max(SIGN_AGE_SHARE * lived_s, MIN_INTERVAL_S)
    return min(interval_s, MAX_INTERVAL_S)
