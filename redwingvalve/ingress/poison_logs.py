"""Logs what is learned of runs that may have crashed endpoints."""

import logging

from redwingvalve.ingress import broken_runs, crash_blame, crash_keys
from redwingvalve.observability import logs

LOG = logs.make_logger('poison')
_MS_IN_S = 1000


def log_run(
    blame: crash_blame.CrashBlame,
    message: str,
    run: broken_runs.BrokenRun,
    sender: str = '',
    *,
    is_routine: bool = False,
) -> None:
    """Log a run with its suspects and the verdict on its request.

    is_routine: of interest only if the request isn't served, since each lost
    answer reaches all nodes.
    """
    judgement = blame.judge(run.fingerprint, *run.suspects)
    is_served = judgement.verdict is crash_blame.Verdict.SERVE
    level = logging.DEBUG if is_routine and is_served else logging.INFO
    if not LOG.isEnabledFor(level):
        return
    endpoint_id, born_ms = run.incarnation
    key = judgement.key
    LOG.log(
        level,
        message,
        extra={
            'fingerprint': crash_keys.format_key(run.fingerprint),
            'endpoint': endpoint_id,
            'born_ms': born_ms,
            'age_ms': int(blame.age_s(run) * _MS_IN_S),
            'is_crash': run.is_crash,
            # Endpoints at which each of them broke off.
            'suspects': {
                crash_keys.format_key(suspect): blame.end_count(suspect)
                for suspect in run.suspects
            },
            'verdict': judgement.verdict.value,
            'blamed': '' if key is None else crash_keys.format_key(key),
            'crashes': sum(end.is_crash for end in judgement.ends),
            'sender': sender,
        },
    )


def log_cleared(key: crash_keys.Key, end_count: int, sender: str) -> None:
    """Log an answer to a suspect, which has broken off at so many endpoints."""
    # The parts of each request that breaks off are cleared a moment later.
    is_detail = end_count < crash_blame.MIN_CRASHES_TO_REFUSE
    LOG.log(
        logging.DEBUG if is_detail else logging.INFO,
        'suspect cleared',
        extra={
            'key': crash_keys.format_key(key),
            'endpoints': end_count,
            'sender': sender,
        },
    )
