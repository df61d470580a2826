"""Messages between the system's own processes, encoded as MessagePack.

Fields are encoded by position, which keeps messages small.  A field is only
ever added at the end, with a default.
"""

import msgspec

from primroselock import decoding

Sections = dict[str, dict[str, str]]


class ShardLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of a shard in accelerators, as reported by its holder.

    ``waiting_accelerators`` is the total that waiting jobs request;
    ``largest_free`` is the size of the largest free cell.
    """

    free_accelerators: decoding.Integer
    waiting_accelerators: decoding.Integer
    largest_free: decoding.Integer


class Beacon(msgspec.Struct, frozen=True, tag='b', array_like=True):
    """The periodic announcement of a process's own state.

    ``incarnation`` is new at each start; ``sequence`` rises within one.
    ``config_age_s`` is the time in seconds since ``config_version`` was
    confirmed with the platform, counted from before the read was sent;
    negative if it never was.  ``address`` is where the process receives
    messages; ``loads_by_shard`` describes the shards that it holds.
    ``leaving`` is True while it shuts down; ``slots_by_upstream`` counts
    the slots that a gateway uses, by VM id of the upstream.  At
    ``status_address`` a scheduler answers operators' calls; empty for others,
    and if other VMs do not reach it.
    """

    vm_id: str
    incarnation: str
    sequence: decoding.Integer
    role: str
    zone: str
    config_version: decoding.Integer
    config_age_s: decoding.Number
    leaving: bool = False
    slots_by_upstream: dict[str, decoding.Integer] = {}
    address: str = ''
    loads_by_shard: dict[str, ShardLoad] = {}
    status_address: str = ''


class JobHint(msgspec.Struct, frozen=True, tag='j', array_like=True):
    """A job was submitted to ``shard``.

    If the hint is lost, the shard's holder finds the job by polling.
    """

    shard: str
    job_id: str


class ConfigQuery(msgspec.Struct, frozen=True, tag='q', array_like=True):
    """A query for the configuration that the receiver holds.

    ``number`` identifies the query to its sender; ``version`` is the
    version that the sender holds, so that the reply carries what is
    missing.
    """

    number: decoding.Integer
    version: decoding.Integer


class ConfigReply(msgspec.Struct, frozen=True, tag='a', array_like=True):
    """The reply to the query ``number`` of its receiver.

    ``age_s`` is the age of the confirmation of ``version`` when the reply
    was created, negative if there is none.  What the receiver is missing
    is sent as the ``texts`` of the last patches, up to ``version``, or as
    the complete ``sections``.
    """

    number: decoding.Integer
    version: decoding.Integer
    age_s: decoding.Number
    texts: tuple[str, ...] = ()
    sections: Sections | None = None


Message = Beacon | JobHint | ConfigQuery | ConfigReply
