"""Steps of the manifest feature."""

import json

import yaml
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from features.builders import manifest as builder
from pollenstile.manifest import (
    ManifestError,
    diff_lines,
    manifest_diff,
    manifest_digest,
    manifest_from_text,
    manifest_reference,
    manifest_schema,
    report_lines,
    text_from_manifest,
)

_DRAWN_EXAMPLES = 150
_HYPOTHESIS_SETTINGS = settings(
    derandomize=True, deadline=None, max_examples=_DRAWN_EXAMPLES, database=None
)


def _report(context, path, text):
    lines, code = report_lines(path, text)
    context.lines = lines
    context.code = code


@given('the {name} manifest')
def step_example(context, name):
    context.document = builder.example_document(name)


@given('the manifest has {cell} at {path}')
def step_edit(context, cell, path):
    value = builder.value_from_cell(cell)
    builder.edit(context.document, path, value)


@given('the manifest has the mistakes')
def step_edits(context):
    for row in context.table:
        step_edit(context, row['value'], row['path'])


@given('the {name} manifest as written in the examples')
def step_example_text(context, name):
    context.manifest_name = f'examples/{name}.yaml'
    context.manifest_text = builder.example_text(name)


@when('the manifest is checked')
def step_check(context):
    context.manifest_text = builder.document_text(context.document)
    _report(context, 'm.json', context.manifest_text)


@when("the example's manifest is checked")
def step_check_example(context):
    _report(context, context.manifest_name, context.manifest_text)


@then('the manifest report is "{line}" with exit code {code:d}')
def step_single_line(context, line, code):
    assert context.lines == [line], context.lines
    assert context.code == code


@then('the manifest report has exactly these lines and exit code {code:d}')
def step_lines(context, code):
    expected = [
        f'm.json: {row["path"]}: {row["text"]}' for row in context.table
    ]
    assert sorted(context.lines) == sorted(expected), context.lines
    assert context.code == code


@then('the manifest has the one mistake {path} with "{text}"')
def step_one_mistake(context, path, text):
    assert context.lines == [f'm.json: {path}: {text}'], context.lines
    assert context.code == 2


@then('the manifest report begins with the warning "{line}"')
def step_warning(context, line):
    assert context.lines[0] == line, context.lines
    assert len(context.lines) == 2
    assert context.code == 0


@then('each of these manifest texts is rejected with this line')
def step_documents(context):
    texts = dict(builder.DOCUMENTS)
    assert [row['document'] for row in context.table] == list(texts)
    for row in context.table:
        lines, code = report_lines('m', texts[row['document']])
        assert lines == [f'm: {row["line"]}'], lines
        assert code == 2


def _assert_only_manifest_errors(text):
    try:
        manifest_from_text(text)
    except ManifestError as error:
        assert error.mistakes
        assert all(mistake.path and mistake.text for mistake in error.mistakes)
    lines, _ = report_lines('m', text)
    assert all(line.isprintable() for line in lines)


@then('arbitrary manifest documents raise nothing but manifest errors')
def step_arbitrary(context):
    @_HYPOTHESIS_SETTINGS
    @hypothesis_given(builder.json_values())
    def check(document):
        _assert_only_manifest_errors(json.dumps(document))

    check()


@then('arbitrary manifest texts raise nothing but manifest errors')
def step_arbitrary_text(context):
    @_HYPOTHESIS_SETTINGS
    @hypothesis_given(strategies.one_of(strategies.text(), strategies.binary()))
    def check(text):
        _assert_only_manifest_errors(text)

    check()


@then('corrupted manifest documents raise nothing but manifest errors')
def step_corrupted(context):
    @_HYPOTHESIS_SETTINGS
    @hypothesis_given(builder.corrupted_documents())
    def check(document):
        _assert_only_manifest_errors(json.dumps(document))

    check()


@then('valid manifests decode to equal ones from their canonical text')
def step_round_trip(context):
    @settings(_HYPOTHESIS_SETTINGS, max_examples=40)
    @hypothesis_given(builder.valid_documents())
    def check(drawn):
        document, shuffled = drawn
        manifest = manifest_from_text(json.dumps(document))
        text = text_from_manifest(manifest)
        decoded = manifest_from_text(text)
        from_yaml = manifest_from_text(yaml.safe_dump(shuffled))
        assert decoded == manifest
        assert text_from_manifest(decoded) == text
        assert manifest_digest(from_yaml) == manifest_digest(manifest)

    check()


@when('the manifest is compared with its example')
def step_diff(context):
    old = manifest_from_text(builder.example_text(context.document['name']))
    new = manifest_from_text(json.dumps(context.document))
    context.changes = diff_lines(manifest_diff(old, new))
    context.digests = {manifest_digest(old), manifest_digest(new)}


@then('the manifest changes are')
def step_changes(context):
    expected = [row['change'] for row in context.table]
    assert context.changes == expected, context.changes
    assert len(context.digests) == 2


@then('the manifest has no changes and one digest')
def step_no_changes(context):
    assert context.changes == []
    assert len(context.digests) == 1


@then('the manifest schema in the docs is the one that the code prints')
def step_schema(context):
    page = builder.ROOT / 'docs' / 'manifest.schema.json'
    assert page.read_text() == f'{manifest_schema()}\n'


@then('the manifest page in the docs holds the reference from the code')
def step_reference(context):
    page = builder.ROOT / 'docs' / 'MANIFEST.md'
    assert manifest_reference() in page.read_text()


@given('the manifest has {count:d} more upstreams in pool {name}')
def step_more_upstreams(context, count, name):
    upstreams = context.document['pools'][name]['upstreams']
    upstreams.update(builder.many_upstreams(count))


@when('the manifest is checked as bare YAML')
def step_check_bare(context):
    text = yaml.safe_dump(context.document).replace("'no'", 'no')
    assert ' no:\n' in text and '- no\n' in text
    _report(context, 'm.json', text)


@then('the manifest is rejected for its size with defaults')
def step_size(context):
    size = len(context.manifest_text)
    assert size < 1_048_576, size
    assert len(context.lines) == 1, context.lines[:5]
    assert context.lines[0].startswith('m.json: document: takes ')
    assert context.lines[0].endswith(
        ' bytes with its defaults, at most 1048576'
    )
    assert context.code == 2
