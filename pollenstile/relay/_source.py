"""Answers to followers from this host's reads of the store."""

from collections import deque

from twisted.internet.defer import Deferred

from pollenstile.peer import RecentTexts
from pollenstile.platform import era_of
from pollenstile.relay._messages import (
    KindUpdate,
    RelayUpdate,
    decode_request,
    encode_update,
)

RELAY_SUBJECT = 'store-word'
# Seconds since this host's own read of the configuration after which it reports
# that it has no store. A follower then reads the store itself: 1.2 s, one round
# of its own watch and the network delay are under the 2 s within which a host
# in contact with the store must know that an upstream is leaving.
CONTACT_SECONDS = 1.2
# The same limit in seconds while an answer of the store is being received: the
# store is up, and the link is saturated. If all followers then read the store
# at once, the same document would saturate their links too.
_RECEIVING_CONTACT_SECONDS = 3.0
# Changes that are kept of each kind; a follower that has missed more gets the
# full list of objects.
_MAX_CHANGES = 512
# Seconds for which simultaneous changes are collected into one answer.
_BATCH_SECONDS = 0.01
# Seconds between looks at held requests after a return of the store: its first
# lists may show no change, and followers wait for them.
_SETTLING_CHECK_SECONDS = 0.1
# Seconds without a request after which no host counts as a follower.
_FOLLOWED_SECONDS = 3.0


class _History:
    """Objects of a kind and their latest numbered changes."""

    __slots__ = ('changes', 'number', 'objects', 'watch')

    def __init__(self):
        self.objects = {}
        self.changes = deque(maxlen=_MAX_CHANGES)
        self.number = 1
        self.watch = None

    def record(self, change):
        """Record a change."""
        self.number += 1
        self.changes.append((self.number, change))
        if change.value is None:
            self.objects.pop(change.name, None)
        else:
            self.objects[change.name] = change

    def changes_after(self, kind, after, *, is_final):
        """Return the changes after a number, or None while there are none.

        Explanation
        ===========

        This host numbers the changes itself. The store's revisions can't serve
        as numbers: a list can show a change that a watch has missed, and whose
        revision is older than one already sent to followers.

        Parameters
        ==========

        kind : str
            Kind of the objects.
        after : int
            Number of the newest change that the follower has; 0 for none.
        is_final : bool
            Whether to return an update without changes instead of None.
        """
        revision = self.watch.revision if self.watch is not None else None
        if revision is None:
            return None
        if after == self.number:
            # Sends the revision up to which the source knows the kind, so that
            # a follower that has read more itself ignores an older list.
            unchanged = KindUpdate(kind, self.number, revision, False, ())
            return unchanged if is_final else None
        oldest = self.changes[0][0] if self.changes else self.number + 1
        if 0 < after < self.number and after + 1 >= oldest:
            changes = tuple(
                change for number, change in self.changes if number > after
            )
            return KindUpdate(kind, self.number, revision, False, changes)
        changes = tuple(self.objects.values())
        return KindUpdate(kind, self.number, revision, True, changes)


class Source:
    """Answers requests of followers.

    Parameters
    ==========

    ident : str
        Incarnation of this host.
    clock : IReactorTime
        Times the held requests.
    suspend_clock : function
        Returns seconds, suspended time included.
    configuration : Configuration
        Configuration in force at this host, with its verification time and the
        time of the last own read.

    Attributes
    ==========

    histories : dict
        Recorded objects and changes, by kind.
    held : dict
        Requests that wait for changes, by the Deferred of their answer.
    requested_at : float
        Time, on the clock, of the latest request.
    leaving : bool
        Whether this host is leaving and must not be followed.
    era : function
        Returns the newest era of the store that this host has heard of, or
        None if it has heard of none.
    """

    __slots__ = (
        'clock',
        'config_texts',
        'configuration',
        'era',
        'held',
        'histories',
        'ident',
        'leaving',
        'requested_at',
        'suspend_clock',
        'timer',
    )

    def __init__(self, ident, clock, suspend_clock, configuration):
        self.ident = ident
        self.clock = clock
        self.suspend_clock = suspend_clock
        self.configuration = configuration
        self.histories = {}
        self.held = {}
        self.requested_at = -_FOLLOWED_SECONDS
        self.leaving = False
        self.era = _no_era
        self.timer = None
        self.config_texts = RecentTexts()
        configuration.listeners.append(self._record_config)

    def add(self, kind, watch):
        """Register the watch that has the last read revision of a kind."""
        self._get_history(kind).watch = watch

    def note(self, change):
        """Record a change that this host has applied."""
        self._get_history(change.kind).record(change)
        self._schedule_answers()

    def is_followed(self):
        """Return whether other hosts depend on this host's reads."""
        return self.clock.seconds() - self.requested_at < _FOLLOWED_SECONDS

    def has_store_contact(self):
        """Return whether the store has answered this host recently."""
        age = self.suspend_clock() - self.configuration.loop.read_at
        return not self.leaving and age < self._contact_seconds()

    def _contact_seconds(self):
        if self.configuration.loop.is_answering():
            return _RECEIVING_CONTACT_SECONDS
        return CONTACT_SECONDS

    def answer(self, host, body):
        """Return a Deferred of the answer to a follower's request."""
        self.requested_at = self.clock.seconds()
        own_era = era_of(self.configuration.revision)
        request = decode_request(body, own_era)
        done = Deferred()
        arrived_at = self.suspend_clock()
        update = self._build_update(request, arrived_at)
        if update is not None:
            done.callback(encode_update(update))
            return done
        self.held[done] = (
            request,
            arrived_at,
            self.clock.seconds() + request.hold,
            self.configuration.is_settling(),
        )
        self._check_held(done)
        return done

    def _get_history(self, kind):
        return self.histories.setdefault(kind, _History())

    def _record_config(self, table):
        found = self.configuration.found
        self.config_texts.keep(found.version, self.configuration.text)
        self._schedule_answers()

    def _schedule_answers(self):
        if self.timer is None and self.held:
            self.timer = self.clock.callLater(
                _BATCH_SECONDS, self._answer_all_held
            )

    def _answer_all_held(self):
        self.timer = None
        for done in list(self.held):
            self._answer_held(done)

    def _check_held(self, done):
        """Answer a request at the end of its hold time or of store contact."""
        entry = self.held.get(done)
        if entry is None:
            return
        now = self.clock.seconds()
        is_settling = self.configuration.is_settling()
        # Followers refuse keys until they are told of a proof.
        is_proved = entry[3] and not is_settling
        if now >= entry[2] or is_proved or not self.has_store_contact():
            self._answer_held(done, is_final=True)
            return
        age = self.suspend_clock() - self.configuration.loop.read_at
        remaining = min(entry[2] - now, self._contact_seconds() - age)
        if is_settling:
            self._answer_held(done)
            remaining = min(remaining, _SETTLING_CHECK_SECONDS)
        self.clock.callLater(
            max(_BATCH_SECONDS, remaining), self._check_held, done
        )

    def _answer_held(self, done, *, is_final=False):
        request, arrived_at, *_ = self.held[done]
        try:
            encoded = self._encoded_update(request, arrived_at, is_final)
        except Exception:
            # The follower has to read the store itself, and the others go on.
            self.held.pop(done)
            done.errback()
            return
        if encoded is not None:
            self.held.pop(done)
            done.callback(encoded)

    def _encoded_update(self, request, arrived_at, is_final):
        """Return the answer to a request, or None while nothing is new."""
        update = self._build_update(request, arrived_at, is_final=is_final)
        return None if update is None else encode_update(update)

    def _build_update(self, request, arrived_at, *, is_final=False):
        """Return the update for a request, or None while nothing is new."""
        if not self.has_store_contact():
            return RelayUpdate(self.ident, has_store=False)
        found = self.configuration.found
        revision = found.version if found is not None else 0
        is_older = self._has_older_config(request, revision)
        kind_updates = self._kind_updates(request, is_final=is_final)
        if not (is_final or kind_updates or is_older):
            return None
        patch = None
        if is_older and request.config_revision in self.config_texts.texts:
            patch = self.config_texts.patch_from(request.config_revision)
        held = self.suspend_clock() - arrived_at
        return RelayUpdate(
            self.ident,
            has_store=True,
            aged=self.configuration.age() - held,
            config_revision=revision,
            config=found if is_older and not patch else None,
            kind_updates=kind_updates,
            patch=patch,
            seen=self.configuration.resumable_revision(),
            config_version=self.configuration.version,
            era=self.era(),
            settling_aged=self._settling_age(held),
        )

    def _settling_age(self, held):
        """Return the age of the last answer of a store that settles."""
        if not self.configuration.is_settling():
            return None
        return self.suspend_clock() - self.configuration.loop.read_at - held

    def _has_older_config(self, request, revision):
        """Return whether a follower needs this host's configuration."""
        if request.config_version:
            return request.config_version < self.configuration.version
        return request.config_revision < revision

    def _kind_updates(self, request, *, is_final):
        is_own_numbering = request.source == self.ident
        updates = []
        for cursor in request.cursors:
            after = cursor.number if is_own_numbering else 0
            history = self._get_history(cursor.kind)
            update = history.changes_after(
                cursor.kind, after, is_final=is_final
            )
            if update is not None:
                updates.append(update)
        return tuple(updates)


def _no_era():
    """Return None, as the store states no era."""
