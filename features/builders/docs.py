"""The project's pages, and what is wrong with them."""

import contextlib
import io
import pathlib
import re
import shlex

from pollenstile.ops.events import catalogue
from pollenstile.ops.main import build_parser
from tools.events import load_package

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_LINK = re.compile(r'\[([^\]]*)\]\(([^)\s]+)\)')
_HEADING = re.compile('^#+ +(.*)$', re.MULTILINE)
_FENCE = re.compile(r'^```[a-z]*\n(.*?)^```', re.MULTILINE | re.DOTALL)
_CONTINUED = re.compile(r'\\\n')
_EVENT = re.compile(r'\bevents? `?(\d{4})\b', re.IGNORECASE)
_MACHINE = re.compile(r'(?<![\w.])/(?:work|home|root|Users)/\S*')
_PLACEHOLDER = re.compile('^[A-Z][A-Z0-9_:.-]*$')
_COMMAND = re.compile(r'^(?:\$ )?(?:\.venv/bin/)?(pollenstile|make)\b(.*)$')
_SHELL = re.compile(r'\s(?:[&|>;]|&&|2>).*$')


class Page:
    """A page and where it stands."""

    __slots__ = ('path', 'text')

    def __init__(self, path, text):
        self.path = path
        self.text = text


def all_pages():
    """Return the README and every page under docs."""
    paths = [ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md'))]
    return [Page(path, path.read_text(encoding='utf8')) for path in paths]


def page_with(line):
    """Return a page at the root that holds one line, as code if it says so."""
    if line.startswith('CODE '):
        code = line.replace('CODE ', '', 1)
        line = f'```\n{code}\n```'
    return Page(ROOT / 'page.md', f'# Page\n\n{line}\n')


def _anchors(text):
    found = set()
    for heading in _HEADING.findall(text):
        plain = re.sub(r'[^\w\- ]', '', heading.strip().lower())
        found.add(plain.replace(' ', '-'))
    return found


def wrong_links(page):
    """Return links of a page that lead nowhere."""
    text = _FENCE.sub('', page.text)
    wrong = []
    for label, link in _LINK.findall(text):
        if _is_outer(link):
            continue
        if not _resolves(page, link) or not _names_scenario(page, label, link):
            wrong.append(link)
    return wrong


def _is_outer(link):
    return re.match('[a-z]+:', link) is not None


def _names_scenario(page, label, link):
    """Return whether a link to a feature is labelled with a scenario there."""
    if not link.endswith('.feature'):
        return True
    feature = (page.path.parent / link).read_text(encoding='utf8')
    name = ' '.join(label.split())
    return (
        re.search(rf'Scenario.*: {re.escape(name)}$', feature, re.M) is not None
    )


def _resolves(page, link):
    name, _, anchor = link.partition('#')
    target = page.path.parent / name if name else page.path
    if name and not target.exists():
        return False
    if not anchor:
        return True
    held = target.read_text(encoding='utf8') if name else page.text
    return anchor in _anchors(held)


def commands(page):
    """Return the commands in a page's code blocks, program and the rest."""
    found = []
    for block in _FENCE.findall(page.text):
        for line in _CONTINUED.sub(' ', block).splitlines():
            match = _COMMAND.match(line.strip())
            if match:
                found.append(match.groups())
    return found


def _make_targets():
    text = (ROOT / 'Makefile').read_text(encoding='utf8')
    return set(re.findall('^([a-z][a-z-]*):', text, re.MULTILINE))


def _is_taken(program, rest):
    words = shlex.split(_SHELL.sub('', rest), comments=True)
    if program == 'make':
        return set(words) <= _make_targets()
    words = ['1' if _PLACEHOLDER.match(word) else word for word in words]
    printed = io.StringIO()
    try:
        with contextlib.redirect_stderr(printed):
            with contextlib.redirect_stdout(printed):
                build_parser().parse_args(words)
    except SystemExit as end:
        return not end.code
    return True


def wrong_commands(page):
    """Return commands of a page that the program does not take."""
    return [
        program + rest
        for program, rest in commands(page)
        if not _is_taken(program, rest)
    ]


def wrong_events(page):
    """Return event numbers of a page that are in no catalogue."""
    load_package()
    known = {event.number for event in catalogue()}
    named = [int(number) for number in _EVENT.findall(page.text)]
    return [number for number in named if number not in known]


def machine_paths(page):
    """Return paths of some machine that a page names."""
    return _MACHINE.findall(page.text)


CHECKS = {
    'links': wrong_links,
    'commands': wrong_commands,
    'events': wrong_events,
    'paths': machine_paths,
}
