"""Settings that may change while a host runs."""

from pollenstile.forward import events


class WatchedSettings:
    """Settings that are read again and again.

    Parameters
    ==========

    read : function
        Returns the settings now; raises ValueError with one clear line.

    Attributes
    ==========

    settings : object
        In force.
    """

    __slots__ = ('read', 'settings', 'wrong')

    def __init__(self, read):
        self.read = read
        self.settings = read()
        self.wrong = ''

    def poll(self, take, log):
        """Hand changed settings over; a wrong file is logged once.

        Parameters
        ==========

        take : function
            Takes the settings.
        log : function
            Writes events.
        """
        try:
            found = self.read()
        except ValueError as error:
            if str(error) != self.wrong:
                self.wrong = str(error)
                log(events.SETTINGS_BAD, level='error', reason=self.wrong)
            return
        self.wrong = ''
        if found != self.settings:
            self.settings = found
            take(found)
