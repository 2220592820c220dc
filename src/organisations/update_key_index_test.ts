import test from "ava";
import { hashApiKey } from "./hash_api_key.ts";
import type { KeyIndex } from "./key_index.ts";
import type { Organisation } from "./organisation.ts";
import { updateKeyIndex } from "./update_key_index.ts";

function createOrganisation(
  name: string,
  keys: readonly string[],
): Organisation {
  return {
    name,
    keyHashes: keys.map(hashApiKey),
    priority: undefined,
    callsPerSecond: 0,
    burstCalls: 0,
  };
}

function createVersion(
  keysByName: Readonly<Record<string, readonly string[]>>,
): ReadonlyMap<string, Organisation> {
  return new Map(
    Object.entries(keysByName).map(([name, keys]) => [
      name,
      createOrganisation(name, keys),
    ]),
  );
}

/** Applies versions one after the other; returns the holder of each key. */
function findHolders(
  versions: readonly ReadonlyMap<string, Organisation>[],
  keys: readonly string[],
): readonly (string | undefined)[] {
  const index: KeyIndex = new Map();
  versions.forEach((after, position) =>
    updateKeyIndex(index, {
      before: versions[position - 1] ?? new Map(),
      after,
    })
  );
  return keys.map((key) => index.get(hashApiKey(key))?.name);
}

test("keys that are added, withdrawn and removed with their organisation are found by the version in force only", (t) => {
  const versions = [
    createVersion({ bakery: ["a", "b"], school: ["c"] }),
    createVersion({ bakery: ["b", "d"] }),
  ];
  t.deepEqual(findHolders(versions, ["a", "b", "c", "d"]), [
    undefined,
    "bakery",
    undefined,
    "bakery",
  ]);
});

test("a key that passes to another organisation is found there, whatever the order of the two", (t) => {
  const first = createVersion({ bakery: ["a"], school: ["b"] });
  const second = createVersion({ bakery: ["b"], school: ["a"] });
  t.deepEqual(findHolders([first, second], ["a", "b"]), ["school", "bakery"]);
  t.deepEqual(findHolders([first, second, first], ["a", "b"]), [
    "bakery",
    "school",
  ]);
});

test("config storm: unchanged organisations are not indexed again", (t) => {
  const before = createVersion({ bakery: ["a"], school: ["b"] });
  const after = new Map([...before, [
    "mill",
    createOrganisation("mill", ["c"]),
  ]]);
  const writes: string[] = [];
  class CountedIndex extends Map<string, Organisation> {
    override set(hash: string, organisation: Organisation): this {
      writes.push(organisation.name);
      return super.set(hash, organisation);
    }
  }
  const index = new CountedIndex();
  updateKeyIndex(index, { before: new Map(), after: before });
  writes.length = 0;
  updateKeyIndex(index, { before, after });
  t.deepEqual(writes, ["mill"]);
});
