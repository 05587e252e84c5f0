"""Bounds of what is read of an upstream's answer."""

# Bytes of a head, with all interim heads before it: four times the head that
# callers may send by default, of which an upstream repeats some.
MAX_HEAD_BYTES = 65536

# Reasons for which an attempt is lost.
ENDLESS_HEAD = 'endless head'
