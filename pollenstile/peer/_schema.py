"""Schema of the protocol between entry hosts, loaded once."""

import pathlib

import capnp

SCHEMA_PATH = pathlib.Path(__file__).with_name('messages.capnp')

schema = capnp.load(str(SCHEMA_PATH))


def load_schema(path):
    """Return a schema loaded from a file, such as that of another release."""
    return capnp.load(str(path))
