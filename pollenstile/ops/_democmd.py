"""``pollenstile demo``: the whole path in one process."""

import random
from dataclasses import replace
from importlib import resources

from pollenstile.bench._load import Load, run_load
from pollenstile.bench._summary import summary_lines
from pollenstile.entry import address_of
from pollenstile.fleet import CONFIG_KIND, CONFIG_NAME
from pollenstile.manifest import manifest_from_text, text_from_manifest
from pollenstile.ops._entrycmd import built_daemon
from pollenstile.ops._validatecmd import text_of_file
from pollenstile.ops.client import caller_for
from pollenstile.ops.exits import BAD_INPUT, BAD_RESULT, GOOD
from pollenstile.ops.http import site_for
from pollenstile.ops.logs import configure_logs
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import ENTRY, Settings, settings_from
from pollenstile.standin.fleet import started_anywhere
from pollenstile.standin.objectapi import MemoryStore, objectapi_resource

_KEY_SUFFIX = '-example-key'
_MOST_VALUE = 2097152
