// The HTML page served to browsers at /graphql. A user enters a query and sees the response. The page loads
// no external scripts.
#pragma once

#include <string_view>

namespace heronwell::path {

inline constexpr std::string_view kQueryPage = R"html(<!doctype html>
<html lang="en"><meta charset="utf-8"><title>heronwell</title>
<style>
body{font:14px/1.4 system-ui,sans-serif;margin:0;display:grid;grid-template:auto 1fr/1fr 1fr;height:100vh}
header{grid-column:1/3;padding:.5em 1em;background:#234;color:#fff;display:flex;gap:1em;align-items:center}
header label{display:flex;gap:.4em;align-items:center}
section{display:flex;flex-direction:column;padding:.5em 1em;min-height:0;min-width:0}
textarea,pre{font:13px/1.4 ui-monospace,monospace;border:1px solid #ccc;padding:.5em;margin:.2em 0;overflow:auto}
textarea{flex:3;resize:none}#variables{flex:1}pre{flex:1;white-space:pre-wrap;background:#f6f8fa}
</style>
<header><b>heronwell</b><button id="run">Run (Ctrl+Enter)</button><button id="schema">Schema</button>
<label>idempotency key <input id="key" size="16"></label><span id="status"></span></header>
<section><label for="query">Query</label><textarea id="query" spellcheck="false">{
  __schema { queryType { fields { name description } } }
}</textarea><label for="variables">Variables</label><textarea id="variables" spellcheck="false">{}</textarea></section>
<section><label for="answer">Answer</label><pre id="answer"></pre></section>
<script>
const get = id => document.getElementById(id);
async function run(query) {
  const began = performance.now();
  let variables;
  try { variables = JSON.parse(get('variables').value || '{}'); }
  catch (error) { get('answer').textContent = 'variables: ' + error.message; return; }
  const headers = {'content-type': 'application/json', accept: 'application/graphql-response+json, application/json'};
  if (get('key').value) headers['idempotency-key'] = get('key').value;
  try {
    const response = await fetch('/graphql', {method: 'POST', headers, body: JSON.stringify({query, variables})});
    const answer = await response.json();
    get('status').textContent = response.status + ' in ' + Math.round(performance.now() - began) + ' ms';
    get('answer').textContent = JSON.stringify(answer, null, 2);
  } catch (error) { get('status').textContent = error.message; }
}
get('run').onclick = () => run(get('query').value);
get('schema').onclick = () => run(`{ __schema { types { kind name description fields { name description
  args { name defaultValue type { ...T } } type { ...T } } inputFields { name type { ...T } } enumValues { name } } } }
fragment T on __Type { kind name ofType { kind name ofType { kind name ofType { kind name } } } }`);
document.onkeydown = event => { if (event.ctrlKey && event.key === 'Enter') run(get('query').value); };
</script></html>
)html";

}  // namespace heronwell::path
