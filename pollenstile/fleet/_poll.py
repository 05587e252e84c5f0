"""Reading the configuration from the object API."""

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from pollenstile.platform import Found

CONFIG_KIND = 'config'
CONFIG_NAME = 'manifest'
_PERIOD = 1.0


async def config_read(store, in_force):
    """Read the configuration once and offer it to the host."""
    found = await store.get(CONFIG_KIND, CONFIG_NAME)
    if isinstance(found, Found):
        in_force.offer(found.version, found.value['text'], 'platform')


def config_poll(clock, store, in_force):
    """Return a started LoopingCall that reads the configuration."""
    loop = LoopingCall(
        lambda: Deferred.fromCoroutine(config_read(store, in_force)),
    )
    loop.clock = clock
    loop.start(_PERIOD)
    return loop
