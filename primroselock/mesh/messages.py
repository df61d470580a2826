"""Messages between the system's own processes, encoded as MessagePack."""

import msgspec


class Beacon(msgspec.Struct, frozen=True, tag='beacon'):
    """A process's word about itself.

    ``incarnation`` is new at each start; ``sequence`` rises within one.
    ``config_age_s`` is how long ago ``config_version`` was confirmed with
    the platform, counted from before the read was sent; negative where
    it never was.
    """

    vm_id: str
    incarnation: str
    sequence: int
    role: str
    zone: str
    config_version: int
    config_age_s: float
    leaving: bool = False
    slots_by_upstream: dict[str, int] = {}


class JobHint(msgspec.Struct, frozen=True, tag='job-hint'):
    """A job was submitted to ``shard``; a lost hint is made up by polls."""

    shard: str
    job_id: str


Message = Beacon | JobHint
