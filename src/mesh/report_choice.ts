import { ChoicePlace } from "../balancing/choice_place.ts";
import type { ChoiceWay } from "../balancing/choice_way.ts";
import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { isOwnAddress } from "./is_own_address.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Counts the choice of a candidate for an offer, and the age of the report that it relied on. */
export function reportChoice(
  node: MeshNode,
  candidate: GateCandidate | undefined,
  way: ChoiceWay | undefined,
): void {
  if (candidate === undefined || way === undefined) return;
  const { entry, view } = candidate;
  const { settings, clock, metrics } = node;
  const nearby = entry.zone === settings.zone
    ? ChoicePlace.OwnZone
    : ChoicePlace.OtherZone;
  const place = isOwnAddress(settings, entry.address)
    ? ChoicePlace.OwnVm
    : nearby;
  metrics.observeChoice({
    way,
    place,
    reportAgeMilliseconds: view.load === undefined
      ? undefined
      : clock.now() - view.loadReceivedAt,
  });
}
