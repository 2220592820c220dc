import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { isRemovalConfirmed } from "../register/is_removal_confirmed.ts";
import type { RegisterEntry } from "../register/register_entry.ts";
import { createFeedItem } from "../source/create_feed_item.ts";
import type { FeedItem } from "../source/feed_item.ts";
import type { SourceValue } from "../source/source_value.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import type { Withdrawals } from "../source/withdrawals.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Lowest revision, so that an item of the source itself replaces it. */
const noRevision = 0;

/**
 * Lists what this node knows as withdrawn for a neighbour that has read the
 * source in `era` and has rules of `rulesVersion` in force. Nothing once the time
 * is over in which operators and backend servers write again.
 */
export function listWithdrawals(
  node: MeshNode,
  options: { readonly era: number; readonly rulesVersion: number },
): Withdrawals {
  const { view } = node;
  const now = node.clock.now();
  if (options.era !== view.sourceEra || now >= view.heldZonesUntil) {
    return {
      era: view.sourceEra,
      items: [],
      removed: [],
      zonesHeldMilliseconds: 0,
    };
  }
  const createItem = (key: string, fact: SourceValue): FeedItem =>
    createFeedItem({ key, revision: noRevision, fact }, {
      rules: undefined,
      now,
    });
  const createEntryItem = (key: string, entry: RegisterEntry) =>
    createItem(key, { kind: SourceValueKind.BackendServer, entry });
  const records = Array.from(view.register.values());
  return {
    era: view.sourceEra,
    items: [
      ...listNewerRules(node, options).map((fact) => createItem("", fact)),
      ...Array.from(view.heldZoneKeys).flatMap((key) => {
        const zone = view.zonesByKey.get(key);
        return zone === undefined
          ? []
          : [createItem(key, { kind: SourceValueKind.ZoneTakenOut, zone })];
      }),
      ...Array.from(view.serverIdentifiersByKey).flatMap(
        ([key, identifier]) => {
          const entry = view.register.get(identifier)?.entry;
          return entry?.availability === BackendServerAvailability.Draining
            ? [createEntryItem(key, entry)]
            : [];
        },
      ),
    ],
    removed: records
      .filter((record) => isRemovalConfirmed(record, now))
      .map(({ entry }) => createEntryItem("", entry)),
    zonesHeldMilliseconds: view.heldZonesUntil - now,
  };
}

function listNewerRules(
  { view: { rules } }: MeshNode,
  { rulesVersion }: { readonly rulesVersion: number },
): readonly SourceValue[] {
  return rules === undefined || rules.version <= rulesVersion
    ? []
    : [{ kind: SourceValueKind.Rules, rules }];
}
