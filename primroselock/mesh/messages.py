"""Messages between the system's own processes, encoded as MessagePack.

Fields travel by position, which keeps messages small.  A field is only
ever added at the end, with a default.
"""

import msgspec

Sections = dict[str, dict[str, str]]


class ShardLoad(msgspec.Struct, frozen=True, array_like=True):
    """What is free in a shard, in accelerators, by its holder.

    ``largest_free`` is the size of the largest free cell.
    """

    free_accelerators: int
    waiting_accelerators: int
    largest_free: int


class Beacon(msgspec.Struct, frozen=True, tag='b', array_like=True):
    """A process's word about itself.

    ``incarnation`` is new at each start; ``sequence`` rises within one.
    ``config_age_s`` is how long ago ``config_version`` was confirmed with
    the platform, counted from before the read was sent; negative where
    it never was.  ``address`` is where the process takes messages;
    ``loads_by_shard`` tells of the shards that it holds.
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
    address: str = ''
    loads_by_shard: dict[str, ShardLoad] = {}


class JobHint(msgspec.Struct, frozen=True, tag='j', array_like=True):
    """A job was submitted to ``shard``; a lost hint is made up by polls."""

    shard: str
    job_id: str


class ConfigQuery(msgspec.Struct, frozen=True, tag='q', array_like=True):
    """Asks what configuration the receiver holds.

    ``number`` names the question for its sender; ``version`` is what the
    sender holds, so that the answer carries what it lacks.
    """

    number: int
    version: int


class ConfigReply(msgspec.Struct, frozen=True, tag='a', array_like=True):
    """Answers the question ``number`` of its receiver.

    ``age_s`` is the age of the confirmation of ``version`` when the
    answer was made, negative where there is none.  What the asker lacks
    comes as the ``texts`` of the last patches, up to ``version``, or as
    the whole ``sections``.
    """

    number: int
    version: int
    age_s: float
    texts: tuple[str, ...] = ()
    sections: Sections | None = None


Message = Beacon | JobHint | ConfigQuery | ConfigReply
