"""Results survive their file, and a page with every plot comes of them."""

import pytest

from redwingvalve.cli import main
from redwingvalve.reports import plots, results


def make_run(policy, load, repetition):
    held = results.make_histogram()
    for step in range(1, 101):
        results.record_s(held, step / 100)
    account = results.AccountResult(
        sent=100,
        in_target=80 - repetition,
        first_token=results.encode_histogram(held),
    )
    return results.RunResult(
        experiment='morning',
        policy=policy,
        seed=repetition,
        repetition=repetition,
        load=load,
        duration_s=10.0,
        accounts={'depot': account},
        timeline=tuple(
            results.TimelineSample(float(at_s), at_s % 3, at_s % 2, 8.0)
            for at_s in range(10)
        ),
    )


def test_the_page_holds_each_policy_and_plot(tmp_path, capsys):
    runs = [
        make_run(policy, load, repetition)
        for policy in ('redwingvalve', 'round-robin')
        for load in (1.0, 1.5)
        for repetition in (0, 1)
    ]
    file = tmp_path / 'results.jsonl'
    file.write_text('\n'.join(map(results.to_json_line, runs)))
    assert results.read_file(str(file)) == tuple(runs)
    status = main.main(['report', str(file), '--folder', str(tmp_path / 'out')])
    assert status == 0
    assert capsys.readouterr().out.startswith('8 runs')
    page = (tmp_path / 'out' / 'report.html').read_text()
    assert page.count('data:image/png;base64,') == len(plots.PLOTS)
    assert 'round-robin' in page
    assert '7.95' in page
    assert results.percentile_s(
        [row.first_token for run in runs for row in run.accounts.values()], 95
    ) == pytest.approx(0.95, rel=0.01)


def test_a_file_that_holds_no_results_is_refused(tmp_path, capsys):
    file = tmp_path / 'bad.jsonl'
    file.write_text('{"policy": 3}\n')
    assert main.main(['report', str(file)]) == 3
    assert 'no result' in capsys.readouterr().err
