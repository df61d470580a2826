"""Builds the inputs to the placements of a round from the blackboard."""

from collections import abc

from primroselock.decisions.accounts import quotas
from primroselock.decisions.accounts import shares
from primroselock.decisions import claimindex
from primroselock.decisions import eligibility
from primroselock.decisions.endtimes import speedorders
from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import fleetpreemption
from primroselock.decisions import fleetworkers
from primroselock.decisions import freecapacity
from primroselock.decisions import placementround
from primroselock.decisions import reachability
from primroselock.decisions import slices
from primroselock.decisions.victims import losses
from primroselock.decisions import waiting
from primroselock import options


def build_idle(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    turn: slices.Turn,
) -> placementround.RoundContext:
    """Return the context of a round before it has placed anything.

    Shares of accounts are left out: they depend on what is listed.
    """
    usable = eligibility.list_usable(board, turn.now)
    return build(
        board,
        settings,
        turn,
        usable,
        eligibility.find_plenty(board, usable),
        quotas.RoundQuotas(board, turn.now),
        waiting.guaranteed_job_ids(board),
        shares.AccountShares(),
    )


def build(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    turn: slices.Turn,
    usable: abc.Sequence[fleetworkers.Worker],
    plenty: eligibility.PlentyServices,
    limits: quotas.RoundQuotas,
    guaranteed_ids: abc.Set[str],
    account_shares: shares.AccountShares,
    observe: placementround.Observe | None = None,
) -> placementround.RoundContext:
    """Return the context of a round; ``usable`` workers may get starts."""
    return placementround.RoundContext(
        board,
        settings,
        len(usable),
        plenty,
        freecapacity.FreeCapacity(
            board,
            list_verified(board, usable),
            fitting.scores_by_name[settings.placement],
            speedorders.orders_by_name[settings.speed_order],
            turn.wall_s,
        ),
        limits,
        index_victims(board, settings, account_shares, turn),
        claimindex.ClaimIndex(board.claims_by_group),
        guaranteed_ids,
        account_shares,
        turn.now,
        turn.wall_s,
        observe,
    )


def index_victims(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    account_shares: shares.AccountShares,
    turn: slices.Turn,
) -> fleetpreemption.VictimIndex:
    """Return the index of what could be stopped, by the configured cost.

    Accounts' shares count where they apply.
    """
    rule = losses.costs_by_name[settings.preemption_cost]
    now, wall_s = turn.now, turn.wall_s
    has_shares = bool(account_shares.shares_by_account)
    return fleetpreemption.VictimIndex(
        lambda group: rule(board, settings, group, now, wall_s),
        account_shares.used_share if has_shares else None,
    )


def list_verified(
    board: fleet.ShardBoard, usable: abc.Iterable[fleetworkers.Worker]
) -> list[fleetworkers.Worker]:
    """Return the usable workers that are known to answer."""
    unverified_ids = {
        worker.id for worker in reachability.list_unverified(board)
    }
    return [worker for worker in usable if worker.id not in unverified_ids]
