"""What operators see of the shares of accounts: gauges and log records.

A record is made while work of an account waits beyond its share, about once
a second for each account.
"""

import typing

from primroselock.decisions.accounts import backlogs
from primroselock.decisions.accounts import shares
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import slices
from primroselock.decisions import waiting

_INTERVAL_S: typing.Final = 1.0


def report(
    board: fleet.ShardBoard,
    found: shares.AccountShares,
    arranged: waiting.Listed,
    turn: slices.Turn,
) -> None:
    """Note what accounts use of their shares, and what waits beyond them."""
    behind_by_account: dict[str, int] = {}
    for group in found.beyond:
        if group.phase is livejobs.Phase.WAITING:
            account = group.job.graph.account
            behind_by_account[account] = behind_by_account.get(account, 0) + 1
    notes = board.share_notes
    notes.used_by_account = {
        account: found.used_share(account)
        for account in found.shares_by_account
    }
    notes.behind_by_account = behind_by_account
    notes.backlogs_by_account = {}
    if behind_by_account:
        notes.backlogs_by_account = backlogs.find(
            board, found, arranged, turn.wall_s
        )
    now = turn.now
    for account, groups in behind_by_account.items():
        reported_at = notes.reported_at_by_account.get(account)
        if reported_at is not None and 0 <= now - reported_at < _INTERVAL_S:
            continue
        notes.reported_at_by_account[account] = now
        board.decision_records.append(
            fleet.DecisionRecord(
                'work waits beyond the share of its account',
                '',
                {
                    'account': account,
                    'groups': groups,
                    'share': round(found.shares_by_account[account], 3),
                    'used_share': round(found.used_share(account), 3),
                    'backlog_s': notes.backlogs_by_account.get(account, {}),
                },
            )
        )


def clear(board: fleet.ShardBoard) -> None:
    """Note that nothing waits, so that shares do not count."""
    board.share_notes.used_by_account = {}
    board.share_notes.behind_by_account = {}
    board.share_notes.backlogs_by_account = {}
