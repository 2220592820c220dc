import { match } from "ts-pattern";
import { updateKeyIndex } from "../organisations/update_key_index.ts";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { isRemovalConfirmed } from "../register/is_removal_confirmed.ts";
import { putEntry } from "../register/put_entry.ts";
import type { RegisterEntry } from "../register/register_entry.ts";
import { removeEntry } from "../register/remove_entry.ts";
import { createRouteTable } from "../routing/create_route_table.ts";
import type { Rules } from "../routing/rules.ts";
import type { SourceItem } from "../source/source_item.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import type { MeshView } from "./mesh_view.ts";
import type { ViewChange } from "./view_change.ts";
import { ViewChangeKind } from "./view_change_kind.ts";

interface ApplyOptions {
  /** In milliseconds since the Unix epoch. */
  readonly now: number;
  /** Whether the item is part of the first reading of an era of the source. */
  readonly startsEra: boolean;
}

type Change = Omit<ViewChange, "revision">;

/** Applies one item of the source to the view and returns the changes. */
export function applySourceItem(
  view: MeshView,
  item: SourceItem,
  options: ApplyOptions,
): readonly Change[] {
  const { now } = options;
  if (item.fact === undefined) return applyRemoval(view, item.key, { now });
  return match(item.fact)
    .with(
      { kind: SourceValueKind.Rules },
      ({ rules }) => applyRules(view, rules),
    )
    .with({ kind: SourceValueKind.ZoneTakenOut }, ({ zone }) => {
      view.zonesByKey.set(item.key, zone);
      view.heldZoneKeys.delete(item.key);
      if (view.zonesTakenOut.has(zone)) return [];
      view.zonesTakenOut.add(zone);
      return [{ kind: ViewChangeKind.ZoneTakenOut, subject: zone }];
    })
    .with({ kind: SourceValueKind.BackendServer }, ({ entry }) => {
      view.serverIdentifiersByKey.set(item.key, entry.identifier);
      return applyEntry(view, entry, options);
    })
    .with({ kind: SourceValueKind.Foreign }, ({ found }) => [
      ...applyRemoval(view, item.key, { now }),
      {
        kind: ViewChangeKind.ForeignItem,
        subject: `${item.key}: ${found}`,
      },
    ])
    .exhaustive();
}

function applyRules(view: MeshView, rules: Rules): readonly Change[] {
  const subject = String(rules.version);
  const inForce = view.rules?.version ?? Number.NEGATIVE_INFINITY;
  if (rules.version === inForce) return [];
  if (rules.version < inForce) {
    return [{ kind: ViewChangeKind.RulesOlderIgnored, subject }];
  }
  view.routes = createRouteTable(rules.routes);
  updateKeyIndex(view.organisationsByKeyHash, {
    before: view.rules?.organisations ?? new Map(),
    after: rules.organisations,
  });
  view.rules = rules;
  return [{ kind: ViewChangeKind.RulesInForce, subject }];
}

function applyEntry(
  view: MeshView,
  entry: RegisterEntry,
  { now, startsEra }: ApplyOptions,
): readonly Change[] {
  const subject = entry.identifier;
  const current = view.register.get(entry.identifier);
  const isSameIncarnation = current !== undefined &&
    current.entry.bornAt === entry.bornAt;
  // A heartbeat that arrives out of order must not restore an older state.
  if (isSameIncarnation && entry.sequence < current.entry.sequence) return [];
  // An older copy of the source may list a backend server that has left. It is
  // listed again only with a heartbeat after the one in the copy.
  if (
    isSameIncarnation && isRemovalConfirmed(current, now) &&
    (startsEra || entry.sequence === current.entry.sequence)
  ) {
    const { sequence } = entry;
    view.register.set(entry.identifier, {
      ...current,
      entry: { ...current.entry, sequence },
    });
    return [];
  }
  putEntry(view.register, entry);
  const isDraining = entry.availability === BackendServerAvailability.Draining;
  const wasDraining = isSameIncarnation &&
    current.entry.availability === BackendServerAvailability.Draining;
  const isCold = entry.coldUntil > now;
  const wasCold = isSameIncarnation && current.entry.coldUntil > now;
  return [
    ...(isSameIncarnation && current.removedAt === 0
      ? []
      : [createAddedChange(entry)]),
    ...(isDraining && !wasDraining
      ? [{ kind: ViewChangeKind.BackendServerDraining, subject }]
      : []),
    ...(isCold && !wasCold
      ? [{ kind: ViewChangeKind.BackendServerCold, subject }]
      : []),
  ];
}

function createAddedChange(entry: RegisterEntry): Change {
  const { identifier, service, zone, slots, address } = entry;
  return {
    kind: ViewChangeKind.BackendServerAdded,
    subject: identifier,
    service,
    zone,
    host: address.host,
    slots,
  };
}

function applyRemoval(
  view: MeshView,
  key: string,
  { now }: { readonly now: number },
): readonly Change[] {
  const zone = view.zonesByKey.get(key);
  if (zone !== undefined) {
    if (view.heldZoneKeys.has(key)) return [];
    view.zonesByKey.delete(key);
    view.zonesTakenOut.delete(zone);
    return [{ kind: ViewChangeKind.ZoneReturned, subject: zone }];
  }
  const identifier = view.serverIdentifiersByKey.get(key);
  if (identifier === undefined) return [];
  view.serverIdentifiersByKey.delete(key);
  const { sourceAvailableSince } = view;
  removeEntry(view.register, { identifier, sourceAvailableSince, now });
  return [{
    kind: ViewChangeKind.BackendServerRemoved,
    subject: identifier,
  }];
}
