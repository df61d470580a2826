"""Builds the adapter to the platform and registers it as ``ishikari``."""

import typing

from primroselock import fleetnode
from primroselock.platform import advice
from primroselock.platform import clientapi
from primroselock.platform import configuration
from primroselock.platform import discovery
from primroselock.platform import rows
from primroselock.platform import settings
from primroselock.platform import workers


NAME: typing.Final = 'ishikari'


@fleetnode.adapter(NAME)
def make() -> fleetnode.Adapter:
    """Return the adapter to the platform ``ishikari``."""
    return fleetnode.Adapter(
        settings.load,
        rows.RowStore,
        workers.HttpRunClient,
        advice.AdviceClient,
        configuration.ConfigurationReader,
        clientapi.ClientApi,
        discovery.WorkerRowReader(),
        configuration.TABLE,
        clientapi.read_job,
    )
