"""What this host has read of the store, for hosts that follow it."""

from collections import deque

from twisted.internet.defer import Deferred

from pollenstile.peer import RecentTexts
from pollenstile.relay._messages import (
    KindNews,
    Word,
    asked_from,
    word_bytes,
)

RELAY_SUBJECT = 'store-word'
# Seconds since this host's own read of the configuration after which it says
# that it knows nothing. A follower then reads the store itself: 1.2 s, one
# turn of its own watch and the way are under the 2 s within which a host in
# touch must know that an upstream leaves.
CONTACT_SECONDS = 1.2
# The same while an answer of the store is coming in: the store is there, and
# the link is full. Its followers, sent to the store all at once, would fill
# theirs with the same document.
_SLOW_CONTACT_SECONDS = 3.0
# Changes that are kept of each kind; who has missed more gets all objects.
_MOST_CHANGES = 512
# Seconds for which changes of one instant are gathered before they are told.
_GATHER = 0.01
# Seconds without an ask after which nobody follows this host.
_FOLLOWED_SECONDS = 3.0


class _History:
    """Objects of a kind, and their latest changes by number."""

    __slots__ = ('changes', 'number', 'objects', 'watch')

    def __init__(self):
        self.objects = {}
        self.changes = deque(maxlen=_MOST_CHANGES)
        self.number = 1
        self.watch = None

    def take(self, change):
        """Note a change."""
        self.number += 1
        self.changes.append((self.number, change))
        if change.value is None:
            self.objects.pop(change.name, None)
        else:
            self.objects[change.name] = change

    def news(self, kind, after, *, at_last):
        """Return what is newer than a number, or None.

        Explanation
        ===========

        Numbers are this host's own. The store's revisions would not do: a
        list can show a change that a watch has missed, of an older revision
        than followers have been told.
        """
        revision = self.watch.revision if self.watch is not None else None
        if revision is None:
            return None
        if after == self.number:
            # How far the source knows the kind; a follower that has read more
            # itself must not take an older list for news.
            unchanged = KindNews(kind, self.number, revision, False, ())
            return unchanged if at_last else None
        oldest = self.changes[0][0] if self.changes else self.number + 1
        if 0 < after < self.number and after + 1 >= oldest:
            changes = tuple(
                one for number, one in self.changes if number > after
            )
            return KindNews(kind, self.number, revision, False, changes)
        changes = tuple(self.objects.values())
        return KindNews(kind, self.number, revision, True, changes)


class Source:
    """Answers followers.

    Parameters
    ==========

    ident : str
        This incarnation of this host.
    clock : IReactorTime
        Times what is held.
    suspend_clock : function
        Returns seconds, suspended time included.
    configuration : Configuration
        Its table, proof and last read of its own.

    Attributes
    ==========

    histories : dict
        By kind.
    held : dict
        Asks that wait for news, and the Deferreds of their answers.
    asked_at : float
        On the clock: the latest ask.
    """

    __slots__ = (
        'asked_at',
        'clock',
        'config_texts',
        'configuration',
        'held',
        'histories',
        'ident',
        'leaving',
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
        self.asked_at = -_FOLLOWED_SECONDS
        self.leaving = False
        self.timer = None
        self.config_texts = RecentTexts()
        configuration.listeners.append(self._config_changed)

    def add(self, kind, watch):
        """Name the watch that knows how far a kind is known."""
        self._history(kind).watch = watch

    def note(self, change):
        """Note a change that this host has taken."""
        self._history(change.kind).take(change)
        self._soon()

    def is_followed(self):
        """Return whether other hosts rely on this one's reads."""
        return self.clock.seconds() - self.asked_at < _FOLLOWED_SECONDS

    def is_fit(self):
        """Return whether the store has answered this host lately."""
        age = self.suspend_clock() - self.configuration.loop.read_at
        return not self.leaving and age < self._contact_seconds()

    def _contact_seconds(self):
        if self.configuration.loop.is_answering():
            return _SLOW_CONTACT_SECONDS
        return CONTACT_SECONDS

    def answer(self, host, body):
        """Return a Deferred of the answer to an ask."""
        self.asked_at = self.clock.seconds()
        asked = asked_from(body)
        done = Deferred()
        came = self.suspend_clock()
        word = self._word(asked, came)
        if word is not None:
            done.callback(word_bytes(word))
            return done
        self.held[done] = (asked, came, self.clock.seconds() + asked.hold)
        self._look_again(done)
        return done

    def _history(self, kind):
        return self.histories.setdefault(kind, _History())

    def _config_changed(self, table):
        found = self.configuration.found
        self.config_texts.keep(found.version, self.configuration.text)
        self._soon()

    def _soon(self):
        if self.timer is None and self.held:
            self.timer = self.clock.callLater(_GATHER, self._tell)

    def _tell(self):
        self.timer = None
        for done in list(self.held):
            self._answer_held(done)

    def _look_again(self, done):
        """Answer an ask when it was held long enough, or when unfit."""
        held = self.held.get(done)
        if held is None:
            return
        now = self.clock.seconds()
        if now >= held[2] or not self.is_fit():
            self._answer_held(done, at_last=True)
            return
        age = self.suspend_clock() - self.configuration.loop.read_at
        left = min(held[2] - now, self._contact_seconds() - age)
        self.clock.callLater(max(_GATHER, left), self._look_again, done)

    def _answer_held(self, done, *, at_last=False):
        asked, came, _ = self.held[done]
        word = self._word(asked, came, at_last=at_last)
        if word is not None:
            self.held.pop(done)
            done.callback(word_bytes(word))

    def _word(self, asked, came, *, at_last=False):
        """Return what to say, or None while there is nothing new."""
        if not self.is_fit():
            return Word(self.ident, fit=False)
        revision = self.configuration.revision
        is_older = asked.config_revision < revision
        news = self._news(asked, at_last=at_last)
        if not (at_last or news or is_older):
            return None
        patch = None
        if is_older and asked.config_revision in self.config_texts.texts:
            patch = self.config_texts.patch_from(asked.config_revision)
        now = self.suspend_clock()
        return Word(
            self.ident,
            fit=True,
            aged=now - self.configuration.verified_at - (now - came),
            config_revision=revision,
            config=self.configuration.found if is_older and not patch else None,
            news=news,
            patch=patch,
            seen=self.configuration.resumable_revision(),
        )

    def _news(self, asked, *, at_last):
        known = asked.source == self.ident
        found = []
        for cursor in asked.cursors:
            after = cursor.number if known else 0
            history = self._history(cursor.kind)
            news = history.news(cursor.kind, after, at_last=at_last)
            if news is not None:
                found.append(news)
        return tuple(found)
