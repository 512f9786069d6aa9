// Writes tests/graphql/corpus.jsonl: GraphQL documents with the results of graphql-js, the reference
// implementation, which are the printed document and validation errors, or the location of the syntax error.
// A seeded generator derives further documents from valid ones: it removes, doubles, swaps, inserts or
// replaces tokens.
//   node corpus.mjs > ../graphql/corpus.jsonl
import {Lexer, Source, TokenKind, buildSchema, parse, print, validate} from 'graphql';

export const sdl = `
directive @many(n: Int) repeatable on FIELD
scalar Any
enum Kind { SHOP GATE }
input Filter { kind: Kind = SHOP, ids: [ID!]!, near: Filter, any: Any }
interface Place { id: ID! name(lang: String = "en"): String }
type Shop implements Place { id: ID! name(lang: String = "en"): String open: Boolean! level: Int }
type Gate implements Place { id: ID! name(lang: String = "en"): String open: String level: Int! }
union Found = Shop | Gate
type Lone { x: Int }
type Query { place(id: ID!): Place find(filter: Filter, first: Int! = 10): [Found!]! shop: Shop lone: Lone
  number(f: Float, b: Boolean, l: [Int], a: Any): Int }
type Mutation { load(floor: Int!): Boolean }
type Subscription { moved: Place other: Place }`;
const schema = buildSchema(sdl);

const validDocuments = [
  '{shop{id}}', 'query A($i:ID!=5){place(id:$i){...P ...on Shop{open}}}fragment P on Place{id name(lang:"de")}',
  'query($f:Filter){find(filter:$f,first:3){__typename ...on Gate{level}...on Place{name}}}',
  '{find(filter:{ids:[1,"b"],kind:GATE,near:{ids:[]},any:{x:[RED,1.5e3,null]}}){...on Shop{id}}}',
  'query Q($y:Boolean!,$n:Int){shop@skip(if:$y){id@include(if:true)level@many(n:1)@many(n:$n)}}',
  'mutation M($x:Int!){load(floor:$x)}', 'subscription S{moved{id}}',
  '{number(f:1,b:false,l:[1,2],a:{k:"v"})a:number(l:3)b:number(f:-0.5)}',
  '{number(a:"""\n    block "text"\n      kept \\""" end\n  """)}', '{number(a:"\\u00e9\\u{1F600}\\uD83D\\uDE00\\n\\t\\"\\\\\\/")}',
  '# a comment\n{ # another\n  shop , , { id,name }\n}\n', '\uFEFF{shop{id}}',
  'query A{shop{id}}query B{lone{x}}', '{a:shop{id}a:shop{level}shop{...F}}fragment F on Shop{id level}',
  '{place(id:"x"){...on Shop{s:level}...on Gate{s:level}}}', '{__schema{types{name kind fields{name type{ofType{name}}}}}__type(name:"Shop"){name}}',
  'fragment A on Shop{...B id}fragment B on Shop{level}{shop{...A}}',
  'query($a:[Int]=[1,null],$k:Kind=SHOP,$f:Filter={ids:["q"]}){number(l:$a)find(filter:{ids:[],kind:$k,near:$f}){__typename}}',
  '{find(first:1){...{...on Shop{id}}}}', 'query V($v:ID){find(filter:{ids:[$v]}){__typename}}',
  '{shop{open level}other:place(id:12345678901234567890){id}}', 'query($b:Boolean=true){number(b:$b)lone{x}}'];
const invalidDocuments = [
  '', '{', '}', '{}', '{a', '{shop(', '{shop(id:)}', 'query', 'query($a){a}', 'query($a:Int=$b){number}', '{a(b:"x', '{a(b:"""x', '{a(b:01)}',
  '{a(b:1.)}', '{a(b:1e)}', '{a(b:.5)}', '{a(b:1x)}', '{a(b:-)}', '{a(b:"\\q")}', '{a(b:"\\u12")}', '{a(b:"\\uD800")}', '{a(b:"\\u{110000}")}',
  '{a(b:"\n")}', '{a b:}', '{...}', '{...on}', '{...on on{a}}', 'fragment on on A{a}', 'fragment A{a}', '{a@}', '{a@b(}', '{a:b:c}', '{a(b:$)}',
  '{a(b:[1)}', '{a(b:{c})}', '{a(b:{c:1)}', 'querry{a}', '{a}}', '{a?b}', '{a}\u0007', 'query A(){a}', '{a()}', '{a{}}', 'type A{a:Int}{a}',
  'extend {a}', '"text"{a}', 'query{a}fragment', '{a(b:true c:false d:null)}', '{true false null}', 'fragment true on T{a}',
  'query on{a}', '{on}', 'subscription subscription{a}', '{a(on:on)}', 'mutation{}', '{a @b @c(d:1)}', '{a..b}', '{....a}', '& {a}', '{a|b}',
  'query($v:[Int!]!@d){number}', 'query A($v:Int $w:Int){a}', '{a(b:0)}', '{a(b:-0)}', '{a(b:00)}', '{a(b:0xF)}', '{a(b:1_000)}'];

let state = 12345n;
const random = n => {
  state = (state * 6364136223846793005n + 1442695040888963407n) & 0xffffffffffffffffn;
  return Number((state >> 33n) % BigInt(n));
};
function tokens(text) {
  const lexer = new Lexer(new Source(text)), out = [];
  for (let t = lexer.advance(); t.kind !== TokenKind.EOF; t = lexer.advance()) out.push(text.slice(t.start, t.end));
  return out;
}
const tokenPool = validDocuments.flatMap(tokens);
const isName = token => /^[_A-Za-z]/.test(token);
const names = [...new Set(tokenPool.filter(isName))];
const all = [...validDocuments, ...invalidDocuments];
while (all.length < 1000) {
  const list = tokens(validDocuments[random(validDocuments.length)]), at = random(list.length);
  const kind = random(9);
  if (kind === 0) list.splice(at, 1);
  if (kind === 1) list.splice(at, 0, list[at]);
  if (kind === 2) list.splice(at, 0, tokenPool[random(tokenPool.length)]);
  if (kind === 3) list[at] = tokenPool[random(tokenPool.length)];
  if (kind === 4) { const other = random(list.length); [list[at], list[other]] = [list[other], list[at]]; }
  if (kind > 4) {  // replace a name, which usually keeps the syntax valid
    const named = list.map((token, i) => isName(token) ? i : -1).filter(i => i >= 0);
    list[named[random(named.length)]] = names[random(names.length)];
  }
  all.push(list.join(random(4) === 0 ? '\n' : ' '));
}
for (const text of [...new Set(all)]) {
  const line = {text};
  try {
    const document = parse(text);
    line.printed = print(document);
    line.invalid = validate(schema, document).map(e => e.locations.map(l => [l.line, l.column]));
  } catch (error) {
    line.syntax = [error.locations[0].line, error.locations[0].column];
  }
  console.log(JSON.stringify(line));
}
