import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { createOfferIdentifier } from "../offers/create_offer_identifier.ts";
import { CallKind } from "../routing/call_kind.ts";
import type { CallPlan } from "./call_plan.ts";
import { isOwnAddress } from "./is_own_address.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { offerToNode } from "./offer_to_node.ts";
import { offerToOwnServer } from "./offer_to_own_server.ts";

/**
 * Offers a call to a backend server: directly if it runs on this VM, otherwise
 * through the node beside it.
 */
export function sendOffer(
  node: MeshNode,
  plan: CallPlan,
  options: {
    readonly candidate: GateCandidate;
    readonly waitDeadline: number;
    /** Whether another attempt may follow this one. */
    readonly canRetry: boolean;
  },
): Promise<OfferOutcome> {
  const { entry, view } = options.candidate;
  const offer = {
    callIdentifier: plan.callIdentifier,
    offerIdentifier: createOfferIdentifier(),
    service: plan.service,
    identifier: entry.identifier,
    callerService: node.settings.service,
    organisation: plan.organisation?.name,
    route: plan.route.name,
    idempotent: plan.route.kind === CallKind.Idempotent,
    priority: plan.priority,
    deadline: plan.deadline,
    goalDeadline: plan.goalDeadline,
    waitDeadline: options.waitDeadline,
    mayComeBack: plan.mayComeBack,
    shareKey: plan.organisation?.name ?? node.settings.service,
    isNested: plan.isNested,
    callsPerSecondLimit: view.callsPerSecondLimit,
  };
  const { signal, request } = plan;
  if (isOwnAddress(node.settings, entry.address)) {
    return offerToOwnServer(node, request, { offer, signal });
  }
  const { host } = entry.address;
  const { offerIdentifier } = offer;
  node.outgoingOffers.set(offerIdentifier, host);
  return offerToNode(node, request, {
    offer,
    signal,
    canRetry: options.canRetry,
    address: { host, port: node.settings.listeners.nodes.port },
  }).finally(() => node.outgoingOffers.delete(offerIdentifier));
}
