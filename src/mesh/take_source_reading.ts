import { match } from "ts-pattern";
import { forgetVanished } from "../register/forget_vanished.ts";
import { putEntry } from "../register/put_entry.ts";
import { removeEntry } from "../register/remove_entry.ts";
import type { RegisterEntry } from "../register/register_entry.ts";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { createRouteTable } from "../routing/create_route_table.ts";
import type { Rules } from "../routing/rules.ts";
import { SourceFactKind } from "../source/source_fact_kind.ts";
import { listReadingItems } from "./list_reading_items.ts";
import type { SourceItem } from "../source/source_item.ts";
import type { SourceReading } from "../source/source_reading.ts";
import type { BeliefChange } from "./belief_change.ts";
import { BeliefChangeKind } from "./belief_change_kind.ts";
import type { MeshView } from "./mesh_view.ts";

/**
 * Takes published items over into the view and returns what changed.
 *
 * A version of the rules goes in as a whole and never back. With `complete`,
 * keys that the reading lacks count as removed. The register changes here
 * alone.
 */
export function takeSourceReading(
  view: MeshView,
  reading: SourceReading,
  options: { readonly complete: boolean; readonly now: number },
): readonly BeliefChange[] {
  const { now } = options;
  const changes = listReadingItems(view, reading, options).flatMap((item) => {
    if (item.revision < (view.revisions.get(item.key) ?? 0)) return [];
    view.revisions.set(item.key, item.revision);
    return takeItem(view, item, { now }).map((change) => ({
      ...change,
      revision: item.revision,
    }));
  });
  forgetVanished(view.register, now);
  view.recordsOfService.clear();
  return changes;
}

type Change = Omit<BeliefChange, "revision">;

function takeItem(
  view: MeshView,
  item: SourceItem,
  { now }: { readonly now: number },
): readonly Change[] {
  if (item.fact === undefined) return takeRemoval(view, item.key, { now });
  return match(item.fact)
    .with({ kind: SourceFactKind.Rules }, ({ rules }) => takeRules(view, rules))
    .with({ kind: SourceFactKind.ZoneTakenOut }, ({ zone }) => {
      view.zoneKeys.set(item.key, zone);
      if (view.zonesTakenOut.has(zone)) return [];
      view.zonesTakenOut.add(zone);
      return [{ kind: BeliefChangeKind.ZoneTakenOut, subject: zone }];
    })
    .with({ kind: SourceFactKind.BackendServer }, ({ entry }) => {
      view.serverKeys.set(item.key, entry.identifier);
      return takeEntry(view, entry, { now });
    })
    .with({ kind: SourceFactKind.Foreign }, ({ found }) => [
      ...takeRemoval(view, item.key, { now }),
      {
        kind: BeliefChangeKind.ForeignItem,
        subject: `${item.key}: ${found}`,
      },
    ])
    .exhaustive();
}

function takeRules(view: MeshView, rules: Rules): readonly Change[] {
  const subject = String(rules.version);
  const inForce = view.rules?.version ?? Number.NEGATIVE_INFINITY;
  if (rules.version === inForce) return [];
  if (rules.version < inForce) {
    return [{ kind: BeliefChangeKind.RulesOlderIgnored, subject }];
  }
  view.routes = createRouteTable(rules.routes);
  view.rules = rules;
  return [{ kind: BeliefChangeKind.RulesInForce, subject }];
}

function takeEntry(
  view: MeshView,
  entry: RegisterEntry,
  { now }: { readonly now: number },
): readonly Change[] {
  const subject = entry.identifier;
  const known = view.register.get(entry.identifier);
  const sameLife = known !== undefined && known.entry.bornAt === entry.bornAt;
  // Beats that crossed each other would bring back an older state.
  if (sameLife && entry.sequence < known.entry.sequence) return [];
  putEntry(view.register, entry);
  const isDraining = entry.availability === BackendServerAvailability.Draining;
  const wasDraining = sameLife &&
    known.entry.availability === BackendServerAvailability.Draining;
  const isCold = entry.coldUntil > now;
  const wasCold = sameLife && known.entry.coldUntil > now;
  return [
    ...(sameLife && known.vanishedAt === 0 ? [] : [createAddition(entry)]),
    ...(isDraining && !wasDraining
      ? [{ kind: BeliefChangeKind.BackendServerDraining, subject }]
      : []),
    ...(isCold && !wasCold
      ? [{ kind: BeliefChangeKind.BackendServerCold, subject }]
      : []),
  ];
}

function createAddition(entry: RegisterEntry): Change {
  const { identifier, service, zone, slots, address } = entry;
  return {
    kind: BeliefChangeKind.BackendServerAdded,
    subject: identifier,
    service,
    zone,
    host: address.host,
    slots,
  };
}

function takeRemoval(
  view: MeshView,
  key: string,
  { now }: { readonly now: number },
): readonly Change[] {
  const zone = view.zoneKeys.get(key);
  if (zone !== undefined) {
    view.zoneKeys.delete(key);
    view.zonesTakenOut.delete(zone);
    return [{ kind: BeliefChangeKind.ZoneReturned, subject: zone }];
  }
  const identifier = view.serverKeys.get(key);
  if (identifier === undefined) return [];
  view.serverKeys.delete(key);
  removeEntry(view.register, { identifier, now });
  return [{
    kind: BeliefChangeKind.BackendServerVanished,
    subject: identifier,
  }];
}
