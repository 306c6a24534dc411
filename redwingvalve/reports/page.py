"""One self-contained HTML page and its PNG plots."""

import base64
import pathlib

import jinja2

from redwingvalve.reports import plots, summary

TEMPLATE = 'page.html.j2'
PAGE_NAME = 'report.html'


def write_report(runs: summary.Runs, folder: str) -> pathlib.Path:
    """Write the page and the plots into folder; return the page's path."""
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    grouped = summary.group_runs(runs, lambda run: run.experiment)
    experiments = [
        _draw_experiment(name, same, target) for name, same in grouped.items()
    ]
    page = target / PAGE_NAME
    page.write_text(_render(experiments), encoding='utf-8')
    return page


def _draw_experiment(
    name: str, same: summary.Runs, target: pathlib.Path
) -> dict[str, object]:
    drawn = plots.draw_all(same)
    for short_name, png in drawn.items():
        (target / f'{name}-{short_name}.png').write_bytes(png)
    return {
        'name': name,
        'rows': summary.summarize(same),
        'plots': [
            {'title': title, 'png': _encode(drawn[plot_name])}
            for plot_name, title, _ in plots.PLOTS
        ],
    }


def _encode(png: bytes) -> str:
    return base64.b64encode(png).decode()


def _render(experiments: list[dict[str, object]]) -> str:
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(pathlib.Path(__file__).parent),
        autoescape=True,
    )
    return environment.get_template(TEMPLATE).render(experiments=experiments)
