"""The inner protocol's schema, loaded once."""

import pathlib

import capnp

SCHEMA_PATH = pathlib.Path(__file__).with_name('messages.capnp')

schema = capnp.load(str(SCHEMA_PATH))


def load_schema(path):
    """Return the schema of another file, such as a neighbouring release's."""
    return capnp.load(str(path))
