"""Client command that explains where a job or a request would go now.

Nothing is sent: the one who decides is asked, and changes nothing.
"""

import argparse
import sys
import typing
import urllib.parse

import msgspec
import result

from primroselock import cli
from primroselock import decoding
from primroselock import errors

_JOBS_PATH: typing.Final = '/v1/operators/explain/jobs'
_REQUESTS_PATH: typing.Final = '/v1/operators/explain/requests'
_SHOWN_WORKERS: typing.Final = 10
_MAX_FILE_BYTES: typing.Final = 256 * 1024


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    what = parser.add_mutually_exclusive_group(required=True)
    what.add_argument('job_id', nargs='?', help='a job that was sent')
    what.add_argument(
        '--file',
        metavar='FILE',
        help='a job that is not sent, as its caller would (- for input)',
    )
    what.add_argument(
        '--service', help='a request to this service that is not sent'
    )
    parser.add_argument(
        '--account', help='the client account of what is not sent'
    )
    parser.add_argument(
        '--queue', help='the queue of the job, on a node of a platform'
    )
    parser.add_argument(
        '--workers',
        type=int,
        metavar='COUNT',
        default=_SHOWN_WORKERS,
        help='workers to show as text for each step (default: %(default)s)',
    )


@cli.command(
    'explain',
    '',
    'explain where a job or a request would go now, and why; send nothing',
    'explain 4f0c1b7a9d2e4c6f8a10\n'
    'explain --file job.json --account signs --queue batch\n'
    'explain --service search --account signs',
    _add_arguments,
)
def _explain(parsed: argparse.Namespace) -> errors.ExitCode:
    if parsed.service is not None:
        answer = _ask_request(parsed)
        lines = format_request(answer)
    else:
        answer = _ask_job(parsed)
        lines = format_job(answer, max(0, parsed.workers))
    if parsed.output == 'json':
        cli.print_result(parsed, answer)
    else:
        print('\n'.join(lines))
    return errors.ExitCode.DONE


def _ask_request(parsed: argparse.Namespace) -> typing.Any:
    if parsed.account is None:
        raise _usage('--service: expected --account with it')
    path = cli.build_path(
        _REQUESTS_PATH, service=parsed.service, account=parsed.account
    )
    return cli.call(parsed, 'GET', path)


def _ask_job(parsed: argparse.Namespace) -> typing.Any:
    if parsed.file is None:
        job_id = urllib.parse.quote(parsed.job_id, safe='')
        if not job_id or '.' in job_id or '%2F' in job_id:
            raise _usage(f'job_id {parsed.job_id!r}: no id of a job')
        return cli.call(parsed, 'GET', f'{_JOBS_PATH}/{job_id}')
    if parsed.account is None:
        raise _usage('--file: expected --account with it')
    path = cli.build_path(
        _JOBS_PATH, account=parsed.account, queue=parsed.queue
    )
    return cli.call(parsed, 'POST', path, _read_file(parsed.file))


def _read_file(name: str) -> typing.Any:
    """Return the job in a file; only its form as JSON is checked."""
    try:
        if name == '-':
            content = sys.stdin.buffer.read(_MAX_FILE_BYTES + 1)
        else:
            with open(name, 'rb') as file:
                content = file.read(_MAX_FILE_BYTES + 1)
    except OSError as error:
        raise _usage(f'{name}: {error.strerror}') from error
    if len(content) > _MAX_FILE_BYTES:
        raise _usage(f'{name}: expected up to {_MAX_FILE_BYTES} bytes')
    decoded = decoding.attempt(msgspec.json.decode, content)
    if isinstance(decoded, result.Err):
        raise _usage(f'{name}: no JSON: {decoded.err_value}')
    return decoded.ok_value


def _usage(message: str) -> errors.CommandError:
    return errors.CommandError(errors.ExitCode.USAGE, message)


def format_job(answer: typing.Any, most_workers: int) -> list[str]:
    """Return the lines of a job's explanation, as text."""
    job = answer['job']
    name = f'job {job["job"]}' if job['is_sent'] else 'a job that is not sent'
    lines = [
        f'{name}: {job["state"]}, account {job["account"]}, '
        f'queue {job["queue"]}'
    ]
    if answer['refused']:
        lines.append(f'it would be refused: {answer["refused"]}')
    if job['waits_s'] is not None:
        held = ''
        if job['held_by_quota_s'] is not None:
            held = f', held back by its quota for {job["held_by_quota_s"]} s'
        lines.append(f'waits for {job["waits_s"]} s{held}')
    lines += _format_wait(job['waits_for'])
    lines.append(f'expected end: {_format_expected(job["end"])}')
    if job['victims']:
        lines.append('would stop:')
        lines += _indent(cli.format_table(job['victims']))
    if job['victims_omitted']:
        lines.append(f'    and {job["victims_omitted"]} more')
    for step in job['steps']:
        lines += _format_step(step, most_workers)
    if job['steps_omitted']:
        lines.append(f'{job["steps_omitted"]} further steps')
    lines.append(_format_knowledge(answer['knowledge']))
    return lines


def _format_step(step: typing.Any, most_workers: int) -> list[str]:
    phases = cli.format_value(step['groups_by_phase'])
    lines = [
        f'step {step["step"]}, occurrence {step["occurrence"]}: {phases}',
        f'  group {step["group"][2]}, {step["tasks"]} tasks: '
        f'{step["phase"]} for {step["phase_s"]} s, '
        f'attempts {step["attempt"]}',
    ]
    if step['outcome'] != 'none':
        placed = ''
        if step['placed']:
            placed = f'; groups of the step that are placed: {step["placed"]}'
        lines.append(f'  the next round: {step["outcome"]}{placed}')
    lines += [f'  {line}' for line in _format_wait(step['waits_for'])]
    if step['workers']:
        lines.append(f'  workers: {", ".join(step["workers"])}')
    for title in ('start', 'run', 'end'):
        lines.append(f'  expected {title}: {_format_expected(step[title])}')
    if step['workers_looked_at']:
        lines += _format_workers(step, most_workers)
    return lines


def _format_workers(step: typing.Any, most: int) -> list[str]:
    """Return how many workers fell out by which rule, and the first ones."""
    counts = ', '.join(
        f'{each["workers"]} {each["rule"]}' for each in step['rules']
    )
    lines = [
        f'  looked at {step["workers_looked_at"]} workers; fell out by rule: '
        f'{counts or "none"}'
    ]
    shown = step['verdicts'][:most]
    if shown:
        rows = [{**each, 'rule': each['rule'] or 'chosen'} for each in shown]
        lines += _indent(cli.format_table(rows))
    left = len(step['verdicts']) - len(shown) + step['verdicts_omitted']
    if left:
        lines.append(f'    and {left} more')
    return lines


def _indent(text: str) -> list[str]:
    return [f'    {line}' for line in text.splitlines()]


def _format_wait(wait: typing.Any) -> list[str]:
    if not wait['rule']:
        return []
    return [f'waits for: {wait["rule"]}: {wait["why"]}']


def _format_expected(expected: typing.Any) -> str:
    if expected['in_s'] is None:
        return 'unknown'
    return f'{expected["in_s"]} s ({expected["source"]})'


def _format_knowledge(known: typing.Any) -> str:
    ages = ', '.join(
        f'{name} {age_s} s' for name, age_s in known['ages_s'].items()
    )
    epoch = ''
    if known['epoch'] is not None:
        epoch = f'epoch {known["epoch"]}, '
    return (
        f'answered by {known["node"]}, {epoch}'
        f'configuration {known["configuration_version"]}; ages: {ages}'
    )


def format_request(answer: typing.Any) -> list[str]:
    """Return the lines of a request's explanation, as text."""
    lines = [
        f'a request to {answer["service"]} of account {answer["account"]}: '
        f'{answer["outcome"]}'
    ]
    if answer['why']:
        lines.append(f'why: {answer["why"]}')
    lines.append(
        f'expected start: {cli.format_value(answer["start_in_s"])} s; '
        f'expected end: {cli.format_value(answer["end_in_s"])} s'
    )
    if answer['upstreams']:
        lines += _indent(cli.format_table(answer['upstreams']))
    if answer['upstreams_omitted']:
        lines.append(f'    and {answer["upstreams_omitted"]} more')
    lines.append(_format_knowledge(answer['knowledge']))
    return lines
