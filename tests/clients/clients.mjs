// Tests unmodified GraphQL clients from the npm registry against a running server: queries, introspection,
// mutations, and the GraphQL over HTTP audits of graphql-http. Usage: clients.mjs URL. The exit code is 0 if
// all checks pass.
import assert from 'node:assert/strict';
import apollo from '@apollo/client/core/core.cjs';
import {Client, fetchExchange} from '@urql/core';
import {buildClientSchema, getIntrospectionQuery, printSchema, validateSchema} from 'graphql';
import {auditServer} from 'graphql-http';
import {ClientError, GraphQLClient} from 'graphql-request';

const {ApolloClient, HttpLink, InMemoryCache, gql} = apollo;
const url = process.argv[2];
let failed = 0;
async function check(name, run) {
  try {
    await run();
    console.log('ok    ', name);
  } catch (error) {
    ++failed;
    console.log('FAILED', name, '\n', error);
  }
}

const request = new GraphQLClient(url);
await check('graphql-request queries with variables', async () => {
  const data = await request.request('query Q($id: ID!) { shop(id: $id) { id name offers { price } } }', {id: 7});
  assert.deepEqual(data, {shop: {id: '7', name: 'Bakery', offers: [{price: 4.5}]}});
});
await check('graphql-request reports errors with their location', async () => {
  const error = await request.request('{ shopp }').catch(e => e);
  assert.ok(error instanceof ClientError);
  assert.deepEqual(error.response.errors[0].locations, [{line: 1, column: 3}]);
});
await check('graphql-request mutates, and a retry with the same idempotency key succeeds', async () => {
  const load = 'mutation { planLoad(floor: 3, plan: "p") }';
  const key = {'idempotency-key': `"clients-${Date.now()}"`};
  assert.deepEqual(await request.request(load, {}, key), {planLoad: 1});
  assert.deepEqual(await request.request(load, {}, key), {planLoad: 1});
});
await check('graphql-js builds a valid schema from introspection', async () => {
  const options = {specifiedByUrl: true, directiveIsRepeatable: true, schemaDescription: true, inputValueDeprecation: true};
  const schema = buildClientSchema(await request.request(getIntrospectionQuery(options)));
  assert.deepEqual(validateSchema(schema), []);
  const text = printSchema(schema);
  assert.match(text, /planLoad\(floor: ID!, plan: String!\): Int/);
  assert.match(text, /input Search \{\s+text: String!\s+kinds: \[PlaceKind!\] = \[SHOP, GATE\]\s+first: Int = 10/);
  assert.doesNotMatch(text, /@sql|select /);
});
await check('Apollo Client queries with fragments on a union and mutates', async () => {
  const client = new ApolloClient({link: new HttpLink({uri: url}), cache: new InMemoryCache()});
  const {data} = await client.query({query: gql`
    query S($for: Search!) { search(for: $for) { __typename ... on Shop { id visits } ... on Gate { level } } }`,
    variables: {for: {text: 'a'}}});
  assert.deepEqual(data.search.map(result => result.__typename), ['Shop', 'Gate']);
  const mutated = await client.mutate({mutation: gql`mutation { planLoad(floor: 4, plan: "p") }`});
  assert.equal(mutated.data.planLoad, 1);
});
await check('urql queries by GET', async () => {
  const client = new Client({url, exchanges: [fetchExchange], preferGetMethod: 'force'});
  const result = await client.query('{ floors { id shops { name } } }', {}).toPromise();
  assert.equal(result.error, undefined);
  assert.equal(result.data.floors.length, 3);
});
for (const result of await auditServer({url})) {
  await check(`graphql-http audit ${result.id} ${result.name}`, async () => {
    // Violations of MUST and SHOULD fail; a MAY that is not met is only printed.
    if (result.status === 'ok') return;
    const text = result.reason + ' ' + (await result.response?.text?.().catch(() => '') ?? '');
    if (result.status === 'notice') return console.log('notice', result.id, result.name, result.reason);
    throw new Error(`${result.status}: ${text}`);
  });
}
console.log(failed === 0 ? 'all checks passed' : `${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
