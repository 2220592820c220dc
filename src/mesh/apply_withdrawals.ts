import type { RegisterEntry } from "../register/register_entry.ts";
import type { FeedItem } from "../source/feed_item.ts";
import type { SourceItem } from "../source/source_item.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { tryCreateSourceItem } from "../source/try_create_source_item.ts";
import type { Withdrawals } from "../source/withdrawals.ts";
import { applySourceItem } from "./apply_source_item.ts";
import type { MeshView } from "./mesh_view.ts";
import type { ViewChange } from "./view_change.ts";

/** The changes come from a neighbour, not with a revision of the source. */
const noRevision = 0;

/**
 * Applies to the view of a node that has started what a neighbour knows as
 * withdrawn, and returns the changes. What the source lists with a later
 * heartbeat, or a later incarnation, stays. `now` is in milliseconds since the
 * Unix epoch.
 */
export function applyWithdrawals(
  view: MeshView,
  withdrawals: Withdrawals,
  { now }: { readonly now: number },
): readonly ViewChange[] {
  const decode = (item: FeedItem): readonly SourceItem[] => {
    const decoded = tryCreateSourceItem(item, {
      rules: undefined,
      readAt: now,
    });
    return decoded === undefined ? [] : [decoded];
  };
  const items = withdrawals.items.flatMap(decode);
  const changes = items.flatMap((item) => {
    const itemChanges = applySourceItem(view, item, { now, startsEra: false });
    if (item.fact?.kind === SourceValueKind.ZoneTakenOut) {
      view.heldZoneKeys.add(item.key);
    }
    return itemChanges;
  });
  withdrawals.removed.flatMap(decode).forEach(({ fact }) => {
    if (fact?.kind !== SourceValueKind.BackendServer) return;
    removeListedEntry(view, fact.entry, { now });
  });
  view.heldZonesUntil = Math.max(
    view.heldZonesUntil,
    now + withdrawals.zonesHeldMilliseconds,
  );
  view.recordsByService.clear();
  view.candidatesVersion += 1;
  return changes.map((change) => ({ ...change, revision: noRevision }));
}

/** Counts an entry as removed that the source lists from an older copy. */
function removeListedEntry(
  view: MeshView,
  removed: RegisterEntry,
  { now }: { readonly now: number },
): void {
  const current = view.register.get(removed.identifier);
  const isOlder = current !== undefined &&
    current.entry.bornAt === removed.bornAt &&
    current.entry.sequence <= removed.sequence;
  if (!isOlder) return;
  view.register.set(removed.identifier, {
    entry: { ...current.entry, sequence: removed.sequence },
    removedAt: now,
    removalConfirmedAt: now,
  });
}
