import { match } from "ts-pattern";
import type { GateCandidate } from "../../balancing/gate_candidate.ts";
import { createGateView } from "../../balancing/create_gate_view.ts";
import type { CallPlan } from "../../mesh/call_plan.ts";
import type { CallResult } from "../../mesh/call_result.ts";
import { CallResultKind } from "../../mesh/call_result_kind.ts";
import { createCallController } from "../../mesh/create_call_controller.ts";
import { createCallProgress } from "../../mesh/create_call_progress.ts";
import { createCallRefusal } from "../../mesh/create_call_refusal.ts";
import { createContactLoss } from "../../mesh/create_contact_loss.ts";
import { getRefusalStatus } from "../../mesh/get_refusal_status.ts";
import { handleCompleteAnswer } from "../../mesh/handle_complete_answer.ts";
import { handleOfferLoss } from "../../mesh/handle_offer_loss.ts";
import { handleOfferRefusal } from "../../mesh/handle_offer_refusal.ts";
import type { MeshNode } from "../../mesh/mesh_node.ts";
import type { OfferOutcome } from "../../mesh/offer_outcome.ts";
import { OfferOutcomeKind } from "../../mesh/offer_outcome_kind.ts";
import { tryRefuseAtStop } from "../../mesh/try_refuse_at_stop.ts";
import { ContactLossCause } from "../../offers/contact_loss_cause.ts";
import { CallKind } from "../../routing/call_kind.ts";
import { createSampleEntry } from "../mesh/create_sample_entry.ts";
import { createSampleRoute } from "../mesh/create_sample_route.ts";
import type { ModelledCaller } from "./modelled_caller.ts";
import type { ModelledGate } from "./modelled_gate.ts";
import type { ModelledNetwork } from "./modelled_network.ts";

const offersMaximum = 3;
const remainingMilliseconds = 5_000;

/**
 * Creates a node that offers one call to a gate, and again as long as its
 * decisions allow. Only its connections are modelled.
 */
export function createModelledCaller(
  options: {
    readonly node: MeshNode;
    readonly network: ModelledNetwork;
    readonly gate: ModelledGate;
    readonly callIdentifier: string;
  },
): ModelledCaller {
  const { node, network, gate, callIdentifier } = options;
  const now = node.clock.now();
  const controller = createCallController();
  const plan: CallPlan = {
    callIdentifier,
    request: { method: "POST", url: "/", headers: [], body: Buffer.alloc(0) },
    route: createSampleRoute({
      kind: CallKind.NonIdempotent,
      attemptsMaximum: offersMaximum,
    }),
    service: "vitrine",
    organisation: undefined,
    priority: 1,
    rulesVersion: 1,
    receivedAt: now,
    deadline: now + remainingMilliseconds,
    goalDeadline: now + remainingMilliseconds,
    mayComeBack: true,
    isNested: false,
    signal: controller.signal,
  };
  const progress = createCallProgress(plan);
  const candidate: GateCandidate = {
    entry: createSampleEntry(),
    view: createGateView(),
    isRemoved: false,
  };
  let offers = 0;
  /** The offer without an outcome. */
  let current: string | undefined;
  let result: CallResult | undefined;

  function offer(): void {
    offers += 1;
    const offerIdentifier = `offer-${offers}`;
    current = offerIdentifier;
    network.send(
      `requests of ${offerIdentifier}`,
      () =>
        gate.receiveOffer(offerIdentifier, (outcome) => {
          if (current !== offerIdentifier) return;
          current = undefined;
          proceed(handleOutcome(outcome));
        }),
    );
  }

  function handleOutcome(outcome: OfferOutcome): CallResult | undefined {
    const common = { candidate, offeredAt: now };
    return match(outcome)
      .with(
        { kind: OfferOutcomeKind.Answered },
        ({ status, headers }) =>
          handleCompleteAnswer(node, progress, {
            ...common,
            status,
            headers,
            body: { held: Buffer.alloc(0), rest: undefined, framed: true },
          }),
      )
      .with(
        { kind: OfferOutcomeKind.Refused },
        (refused) => handleOfferRefusal(node, progress, { ...common, refused }),
      )
      .with(
        { kind: OfferOutcomeKind.Lost },
        ({ reason, cause }) =>
          handleOfferLoss(node, progress, { ...common, reason, cause }),
      )
      .exhaustive();
  }

  /** As `processCall` does after each offer. */
  function proceed(found: CallResult | undefined): void {
    result = found;
    if (result !== undefined) return;
    const canOffer = !plan.signal.aborted && offers < offersMaximum;
    result = canOffer
      ? tryRefuseAtStop(node, progress)
      : createCallRefusal(node, progress);
    if (result === undefined) offer();
  }

  /** The offer may have been received, so it counts as lost. */
  function lose(): void {
    if (current === undefined) return;
    const lost = current;
    current = undefined;
    network.send(`requests of ${lost}`, () => gate.receiveCancellation(lost));
    proceed(handleOutcome(createContactLoss(ContactLossCause.ConnectionEnded)));
  }

  offer();
  return {
    getStatus: () => result === undefined ? undefined : getStatus(result),
    cancel: () => {
      controller.abort();
      lose();
    },
    stop: () => {
      node.offersEndAt = node.clock.now();
      if (current === undefined) return;
      const withdrawn = current;
      network.send("withdrawals", () => gate.receiveWithdrawal(withdrawn));
    },
    // The offer may still arrive before the end of its connection.
    loseConnection: lose,
  };
}

function getStatus(result: CallResult): number {
  return result.kind === CallResultKind.Answered
    ? result.status
    : getRefusalStatus(result.reason, result.outcome);
}
