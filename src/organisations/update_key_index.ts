import type { KeyIndex } from "./key_index.ts";
import type { Organisation } from "./organisation.ts";

type Organisations = ReadonlyMap<string, Organisation>;

/**
 * Updates the index from one version of the organisations to the next. Versions
 * may follow each other several times a second, so only the keys of changed
 * organisations are indexed again.
 */
export function updateKeyIndex(
  index: KeyIndex,
  { before, after }: {
    readonly before: Organisations;
    readonly after: Organisations;
  },
): void {
  // First all removals: a key may pass from one organisation to another.
  before.forEach((organisation, name) => {
    if (after.get(name) === organisation) return;
    organisation.keyHashes.forEach((hash) => index.delete(hash));
  });
  after.forEach((organisation, name) => {
    if (before.get(name) === organisation) return;
    organisation.keyHashes.forEach((hash) => index.set(hash, organisation));
  });
}
