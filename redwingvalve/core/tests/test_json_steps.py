"""JSON that is parsed in steps means what the JSON library says."""

import json
import time

import hypothesis
import pytest
from hypothesis import strategies

from redwingvalve.core import json_steps, steps

MAX_DEPTH = 64
STEP_S = 0.05
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text()
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inside: (
        strategies.lists(inside)
        | strategies.dictionaries(strategies.text(), inside)
    ),
    max_leaves=60,
)


def parsed(text):
    return steps.finish(json_steps.parse(text, MAX_DEPTH))


@hypothesis.given(
    VALUES,
    strategies.integers(1, 40),
    strategies.sampled_from([None, 1]),
    strategies.booleans(),
)
def test_values_longer_than_a_window_are_read_whole(
    value, window, indent, is_ascii
):
    text = json.dumps(value, indent=indent, ensure_ascii=is_ascii)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(json_steps, 'WINDOW_CHARS', window + 16)
        assert parsed(text) == json.loads(text)


@hypothesis.given(
    VALUES,
    strategies.integers(0, 10_000),
    strategies.sampled_from(['', ',', ']', '}', '"', '[', '{', ':', 'x', '\\']),
    strategies.booleans(),
)
def test_what_is_no_json_is_refused(value, place, mark, is_removed):
    """A member behind a missing one, or two commas, must not be skipped."""
    text = json.dumps([value, {'a': value}, [value] * 3])
    place %= len(text)
    text = f'{text[:place]}{mark}{text[place + is_removed :]}'
    try:
        expected = json.loads(text)
    except ValueError:
        expected = json_steps.JsonError
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(json_steps, 'WINDOW_CHARS', 20)
        try:
            found = parsed(text)
        except json_steps.JsonError:
            found = json_steps.JsonError
    assert found == expected


@pytest.mark.parametrize(
    'text',
    [
        '[' + '[1], ' * 200_000 + '0]',
        '[' + '[[1],[2]],' * 100_000 + '0]',
        '[' + '{"a": [{}, {"b": "c"}]} , ' * 40_000 + '0]',
        '{' + ','.join(f'"k{one}":[{one}]' for one in range(60_000)) + '}',
        '[' + '9,' * 500_000 + '0]',
        '[' + '"\\u00e9", ' * 100_000 + '0]',
        '["' + '\\"' * 500_000 + '"]',
        '[' * 60 + '1,' * 400_000 + '0' + ']' * 60,
        '[' + ('[' * 60 + '"%s"' % ('x' * 5000) + ']' * 60 + ',') * 200 + '0]',
    ],
    ids=range(9),
)
def test_a_sound_megabyte_is_parsed_in_short_steps(text):
    """An entry of a megabyte kept a node from its callers for 0.13 s."""
    shortest_s = []
    for _ in range(2):
        parsing = json_steps.parse(text, MAX_DEPTH)
        durations_s = []
        is_done = False
        while not is_done:
            started_s = time.process_time()
            is_done = next(parsing, 'done') == 'done'
            durations_s.append(time.process_time() - started_s)
        shortest_s.append(durations_s)
    assert parsed(text) == json.loads(text)
    assert max(map(min, zip(*shortest_s, strict=True))) < STEP_S
    assert sum(shortest_s[0]) < 3


@pytest.mark.parametrize('levels', [65, 500, 100_000])
def test_levels_are_limited(levels):
    text = '[' * levels + '1' + ']' * levels
    with pytest.raises(json_steps.TooDeepError):
        parsed(text)
    skipped = steps.finish(json_steps.Reader(text, 1).skip(0, len(text)))
    assert skipped == len(text)
