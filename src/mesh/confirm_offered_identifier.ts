import { HolderKind } from "../address_holder/holder_kind.ts";
import type { GateOffer } from "./gate_offer.ts";
import type { MeshNode } from "./mesh_node.ts";
import { updateGate } from "./update_gate.ts";

/**
 * Takes the holder of the address for one of the node's service if an offer for
 * that service names it: the register that the offering node reads lists it,
 * although this node has not read that yet.
 */
export function confirmOfferedIdentifier(
  node: MeshNode,
  offer: Pick<GateOffer, "identifier" | "service">,
): void {
  const { addressHolder: holder, settings } = node;
  const { kind, latest } = holder;
  if (kind !== HolderKind.Unlisted) return;
  if (latest?.identifier !== offer.identifier) return;
  if (offer.service !== settings.service) return;
  holder.own = latest;
  updateGate(node);
}
