"""Documentation pages, and checks that find errors in them."""

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
_LINE_CONTINUATION = re.compile(r'\\\n')
_EVENT = re.compile(r'\bevents? `?(\d{4})\b', re.IGNORECASE)
_MACHINE_PATH = re.compile(r'(?<![\w.])/(?:work|home|root|Users)/\S*')
_PLACEHOLDER = re.compile('^[A-Z][A-Z0-9_:.-]*$')
_COMMAND = re.compile(r'^(?:\$ )?(?:\.venv/bin/)?(pollenstile|make)\b(.*)$')
_SHELL_TAIL = re.compile(r'\s(?:[&|>;]|&&|2>).*$')


class Page:
    """Path and text of a documentation page."""

    __slots__ = ('path', 'text')

    def __init__(self, path, text):
        self.path = path
        self.text = text


def all_pages():
    """Return the README and all pages under docs."""
    paths = [ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md'))]
    return [Page(path, path.read_text(encoding='utf8')) for path in paths]


def build_page(line):
    """Return a page at the root with one line, or a code block for ``CODE``."""
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


def broken_links(page):
    """Return the links of a page whose target does not exist."""
    text = _FENCE.sub('', page.text)
    broken = []
    for label, link in _LINK.findall(text):
        if _is_external(link):
            continue
        if not _resolves(page, link) or not _names_scenario(page, label, link):
            broken.append(link)
    return broken


def _is_external(link):
    return re.match('[a-z]+:', link) is not None


def _names_scenario(page, label, link):
    """Return whether the label of a link to a feature names a scenario."""
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
    linked_text = target.read_text(encoding='utf8') if name else page.text
    return anchor in _anchors(linked_text)


def commands(page):
    """Return the commands in code blocks of a page, as program and the rest."""
    found = []
    for block in _FENCE.findall(page.text):
        for line in _LINE_CONTINUATION.sub(' ', block).splitlines():
            match = _COMMAND.match(line.strip())
            if match:
                found.append(match.groups())
    return found


def _make_targets():
    text = (ROOT / 'Makefile').read_text(encoding='utf8')
    return set(re.findall('^([a-z][a-z-]*):', text, re.MULTILINE))


def _is_accepted(program, rest):
    words = shlex.split(_SHELL_TAIL.sub('', rest), comments=True)
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


def invalid_commands(page):
    """Return the commands of a page that the program does not accept."""
    return [
        program + rest
        for program, rest in commands(page)
        if not _is_accepted(program, rest)
    ]


def unknown_events(page):
    """Return the event numbers of a page that are not in the catalogue."""
    load_package()
    known = {event.number for event in catalogue()}
    named = [int(number) for number in _EVENT.findall(page.text)]
    return [number for number in named if number not in known]


def machine_paths(page):
    """Return the paths of a specific machine in the text of a page."""
    return _MACHINE_PATH.findall(page.text)


CHECKS = {
    'links': broken_links,
    'commands': invalid_commands,
    'events': unknown_events,
    'paths': machine_paths,
}
