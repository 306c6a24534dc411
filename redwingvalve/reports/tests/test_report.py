"""Results are read back as written, and the report contains every plot."""

import pytest

from redwingvalve.cli import main
from redwingvalve.reports import plots, results


def build_run(policy, load, repetition):
    latencies = results.make_histogram()
    for index in range(1, 101):
        results.record_s(latencies, index / 100)
    account = results.AccountResult(
        sent=100,
        in_target=80 - repetition,
        first_token=results.encode_histogram(latencies),
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


def test_report_contains_every_policy_and_plot(tmp_path, capsys):
    runs = [
        build_run(policy, load, repetition)
        for policy in ('redwingvalve', 'round-robin')
        for load in (1.0, 1.5)
        for repetition in (0, 1)
    ]
    results_file = tmp_path / 'results.jsonl'
    results_file.write_text('\n'.join(map(results.to_json_line, runs)))
    assert results.read_file(str(results_file)) == tuple(runs)
    status = main.main(
        ['report', str(results_file), '--folder', str(tmp_path / 'out')]
    )
    assert status == 0
    assert capsys.readouterr().out.startswith('8 runs')
    page = (tmp_path / 'out' / 'report.html').read_text()
    assert page.count('data:image/png;base64,') == len(plots.PLOTS)
    assert 'round-robin' in page
    assert '7.95' in page
    assert results.percentile_s(
        [row.first_token for run in runs for row in run.accounts.values()], 95
    ) == pytest.approx(0.95, rel=0.01)


def test_invalid_results_file_is_rejected(tmp_path, capsys):
    results_file = tmp_path / 'bad.jsonl'
    results_file.write_text('{"policy": 3}\n')
    assert main.main(['report', str(results_file)]) == 3
    assert 'invalid run result' in capsys.readouterr().err
