"""Settings of the messages between daemons: the section ``mesh``."""

import dataclasses

from primroselock import ini


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """Addresses, intervals, keys and limits of the mesh of peers.

    Beyond ``max_connections`` from others those that have waited longest
    are closed.  A message that others send has at most
    ``max_message_bytes``; ``max_held_bytes`` bounds each of what arrived of
    unfinished messages, what waits to be handled, the answers that peers do
    not read, and the beacons that are kept, of at most ``max_members``
    processes.  A handshake must end within ``handshake_timeout_s``, a
    message within ``message_timeout_s``, in which a peer must also read
    some of what it is sent.
    """

    bind: str = ini.key('address', '127.0.0.1:0')
    peers: tuple[str, ...] = ini.key('addresses', ())
    beacon_interval_s: float = ini.key('seconds', 0.5)
    peer_expiry_s: float = ini.key('seconds', 2.5)
    max_peers: int = ini.key('positive', 16)
    public_key: str = ini.key('curve_key', '')
    secret_key: str = ini.key('curve_key', '')
    max_connections: int = ini.key('positive', 512)
    max_message_bytes: int = ini.key('positive', 1024 * 1024)
    max_held_bytes: int = ini.key('positive', 16 * 1024 * 1024)
    max_members: int = ini.key('positive', 4_096)
    handshake_timeout_s: float = ini.key('seconds', 10.0)
    message_timeout_s: float = ini.key('seconds', 20.0)


def check(mesh: MeshSettings, source: str) -> list[ini.Problem]:
    """Return the values that do not fit together."""
    problems: list[ini.Problem] = []
    if mesh.beacon_interval_s * 3 > mesh.peer_expiry_s:
        problems.append(
            ini.Problem(
                source,
                'mesh',
                'beacon_interval_s',
                str(mesh.beacon_interval_s),
                'at most a third of peer_expiry_s',
            )
        )
    if mesh.max_held_bytes < mesh.max_message_bytes * 2:
        problems.append(
            ini.Problem(
                source,
                'mesh',
                'max_held_bytes',
                str(mesh.max_held_bytes),
                'at least twice max_message_bytes',
            )
        )
    public_key = ''
    if mesh.secret_key:
        # Nodes without a mesh do not load the library.
        import zmq

        public_key = zmq.curve_public(mesh.secret_key.encode()).decode()
    if mesh.public_key != public_key:
        expected = 'the public key of secret_key, or neither key'
        problems.append(
            ini.Problem(
                source, 'mesh', 'public_key', mesh.public_key, expected
            )
        )
    return problems
