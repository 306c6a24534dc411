"""The report: a self-contained HTML page, and its plots as PNG files."""

import base64
import pathlib

import jinja2

from redwingvalve.reports import plots, summary

TEMPLATE_NAME = 'page.html.j2'
PAGE_NAME = 'report.html'


def write_report(runs: summary.Runs, folder: str) -> pathlib.Path:
    """Write the page and the plots to folder; return the path of the page."""
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    grouped = summary.group_runs(runs, lambda run: run.experiment)
    experiments = [
        _render_experiment(name, experiment_runs, target)
        for name, experiment_runs in grouped.items()
    ]
    page = target / PAGE_NAME
    page.write_text(_render_page(experiments), encoding='utf-8')
    return page


def _render_experiment(
    name: str, experiment_runs: summary.Runs, target: pathlib.Path
) -> dict[str, object]:
    images = plots.draw_all(experiment_runs)
    for short_name, png in images.items():
        (target / f'{name}-{short_name}.png').write_bytes(png)
    return {
        'name': name,
        'rows': summary.summarize(experiment_runs),
        'plots': [
            {'title': title, 'png': _encode_base64(images[plot_name])}
            for plot_name, title, _ in plots.PLOTS
        ],
    }


def _encode_base64(png: bytes) -> str:
    return base64.b64encode(png).decode()


def _render_page(experiments: list[dict[str, object]]) -> str:
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(pathlib.Path(__file__).parent),
        autoescape=True,
    )
    return environment.get_template(TEMPLATE_NAME).render(
        experiments=experiments
    )
