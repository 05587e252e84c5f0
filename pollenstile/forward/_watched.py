"""Polling of settings that may change while a host runs."""

from pollenstile.forward import events
from pollenstile.ops.loops import guarded


class WatchedSettings:
    """Settings that are read again on each poll.

    Parameters
    ==========

    read : function
        Returns the current settings; raises ValueError with a one-line message.

    Attributes
    ==========

    settings : object
        The settings in force.
    last_error : str
        Message of the last failed read; empty after a successful one.
    """

    __slots__ = ('last_error', 'read', 'settings')

    def __init__(self, read):
        self.read = read
        self.settings = read()
        self.last_error = ''

    def poll(self, apply, log):
        """Read the settings and apply them if they changed.

        Explanation
        ===========

        Settings that can't be read are logged once for each new message.

        Parameters
        ==========

        apply : function
            Called with the changed settings.
        log : function
            Writes events.
        """
        try:
            new_settings = self.read()
        except Exception as error:
            # Any error would end the polls, and later settings would be missed.
            if str(error) != self.last_error:
                self.last_error = str(error)
                log(events.SETTINGS_BAD, level='error', reason=self.last_error)
            return
        self.last_error = ''
        if new_settings != self.settings:
            self.settings = new_settings
            guarded(log, 'settings', apply)(new_settings)
