"""Connection pools by the address of the process that they lead to.

For clients of many processes, such as the workers, which come and go.
"""

from collections import abc

from primroselock import httpclient

PoolBuilder = abc.Callable[[str], httpclient.ConnectionPool]
"""Returns a new pool of connections to an address."""


class AddressPools:
    """One pool for each address, built when it is first used."""

    def __init__(self, build_pool: PoolBuilder) -> None:
        self._build_pool = build_pool
        self.pools_by_address: dict[str, httpclient.ConnectionPool] = {}

    def get(self, address: str) -> httpclient.ConnectionPool:
        """Return the pool of an address."""
        pool = self.pools_by_address.get(address)
        if pool is None:
            pool = self._build_pool(address)
            self.pools_by_address[address] = pool
        return pool

    async def drop(self, address: str) -> None:
        """Close the connections to an address that is no longer used."""
        pool = self.pools_by_address.pop(address, None)
        if pool is not None:
            await pool.aclose()

    async def aclose(self) -> None:
        """Close every connection."""
        for address in list(self.pools_by_address):
            await self.drop(address)
