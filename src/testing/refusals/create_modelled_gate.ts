import { Readable } from "node:stream";
import { match } from "ts-pattern";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { cancelSlotRequest } from "../../gate/cancel_slot_request.ts";
import { processGateQueue } from "../../gate/process_gate_queue.ts";
import { releaseSlot } from "../../gate/release_slot.ts";
import { requestSlot } from "../../gate/request_slot.ts";
import { SlotDecisionKind } from "../../gate/slot_decision_kind.ts";
import type { SlotRequest } from "../../gate/slot_request.ts";
import { BackendExchangeKind } from "../../mesh/backend_exchange_kind.ts";
import { chooseBackendAgent } from "../../mesh/choose_backend_agent.ts";
import { classifyBackendAnswer } from "../../mesh/classify_backend_answer.ts";
import { createOfferRefusal } from "../../mesh/create_offer_refusal.ts";
import type { MeshNode } from "../../mesh/mesh_node.ts";
import type { OfferOutcome } from "../../mesh/offer_outcome.ts";
import { OfferOutcomeKind } from "../../mesh/offer_outcome_kind.ts";
import { releaseOffer } from "../../offers/release_offer.ts";
import { tryHoldOffer } from "../../offers/try_hold_offer.ts";
import { withdrawOffer } from "../../offers/withdraw_offer.ts";
import type { ModelledAnswer } from "./modelled_answer.ts";
import type { ModelledBackend } from "./modelled_backend.ts";
import type { ModelledGate } from "./modelled_gate.ts";
import type { ModelledNetwork } from "./modelled_network.ts";

const remainingMilliseconds = 10_000;
const otherOffer = "other";

type Reply = (outcome: OfferOutcome) => void;

/**
 * Creates a node beside a backend server with one slot. It decides with the
 * functions of a real node; only its connections are modelled.
 */
export function createModelledGate(
  options: {
    readonly network: ModelledNetwork;
    readonly backend: ModelledBackend;
    readonly callIdentifier: string;
    readonly isOccupied: boolean;
    readonly createNode: () => MeshNode;
  },
): ModelledGate {
  const { network, backend, callIdentifier, createNode } = options;
  let node = createNode();
  /** Offers that wait for a slot, by identifier. */
  const waiting = new Map<string, Reply>();
  /** Replies to the offers that are sent to the backend server. */
  const replies = new Map<string, Reply>();
  /** The offers that are sent to the backend server, by connection. */
  const exchanges = new Map<number, string>();
  let idleConnections: readonly number[] = [];
  let connections = 0;
  let occupied = options.isOccupied;
  if (occupied) {
    const now = node.clock.now();
    requestSlot(node.gate, createSlotRequest(otherOffer, now), { now });
  }

  function refuse(reason: RefusalReason): OfferOutcome {
    return createOfferRefusal(node, { reason, retryMilliseconds: 0 });
  }

  function end(
    offerIdentifier: string,
    reply: Reply,
    outcome: OfferOutcome,
  ): void {
    releaseOffer(node.offers, { offerIdentifier, now: node.clock.now() });
    network.send(`replies to ${offerIdentifier}`, () => reply(outcome));
  }

  function startExchange(offerIdentifier: string): void {
    const agent = chooseBackendAgent(node, {
      callIdentifier,
      idempotent: false,
      deadline: node.clock.now() + remainingMilliseconds,
    });
    const [idle, ...others] = idleConnections;
    const isKept = agent !== false && idle !== undefined;
    if (isKept) idleConnections = others;
    else connections += 1;
    const connection = isKept ? idle : connections;
    exchanges.set(connection, offerIdentifier);
    const current = node;
    network.send(
      `requests on ${connection}`,
      () =>
        backend.receive(connection, (answer) => {
          // The connections of an earlier process have ended.
          if (node !== current) return;
          receiveAnswer(connection, answer);
        }),
    );
  }

  /** What arrives on a connection without an exchange belongs to no request. */
  function receiveAnswer(
    connection: number,
    answer: ModelledAnswer | undefined,
  ): void {
    const offerIdentifier = exchanges.get(connection);
    if (offerIdentifier === undefined) {
      idleConnections = idleConnections.filter((idle) => idle !== connection);
      return;
    }
    const reply = replies.get(offerIdentifier)!;
    exchanges.delete(connection);
    const kind = classify(answer);
    if (kind !== BackendExchangeKind.Broken) {
      idleConnections = [connection, ...idleConnections];
    }
    release(offerIdentifier);
    end(offerIdentifier, reply, createOutcome(kind, answer));
  }

  function run(offerIdentifier: string, reply: Reply): void {
    replies.set(offerIdentifier, reply);
    startExchange(offerIdentifier);
  }

  function classify(answer: ModelledAnswer | undefined) {
    if (answer === undefined) return BackendExchangeKind.Broken;
    return classifyBackendAnswer(answer.status, {
      callIdentifier,
      head: {
        callIdentifier,
        notRun: answer.notRun,
        signed: true,
        encoded: false,
        misdirected: false,
        identifier: undefined,
        coldMilliseconds: undefined,
        callsPerSecondLimit: undefined,
        leaving: false,
      },
    });
  }

  function createOutcome(
    kind: BackendExchangeKind,
    answer: ModelledAnswer | undefined,
  ): OfferOutcome {
    if (kind === BackendExchangeKind.Answered && answer !== undefined) {
      return {
        kind: OfferOutcomeKind.Answered,
        status: answer.status,
        headers: [],
        framed: true,
        body: Readable.from([]),
        load: undefined,
      };
    }
    return kind === BackendExchangeKind.NotRun
      ? createOfferRefusal(node, {
        reason: RefusalReason.Full,
        retryMilliseconds: 1,
        reachedBackendServer: true,
      })
      : {
        kind: OfferOutcomeKind.Lost,
        reason: RefusalReason.AnswerBroken,
        cause: undefined,
        load: undefined,
      };
  }

  function release(offerIdentifier: string): void {
    const now = node.clock.now();
    releaseSlot(node.gate, { offerIdentifier, answered: false, now });
    grantSlots();
  }

  function grantSlots(): void {
    const update = processGateQueue(node.gate, node.clock.now());
    update.granted.forEach(({ request: { offerIdentifier } }) => {
      const reply = waiting.get(offerIdentifier)!;
      waiting.delete(offerIdentifier);
      run(offerIdentifier, reply);
    });
    update.refused.forEach(({ request: { offerIdentifier } }) =>
      refuseWaiting(offerIdentifier, update.reason)
    );
  }

  function refuseWaiting(offerIdentifier: string, reason: RefusalReason): void {
    const reply = waiting.get(offerIdentifier);
    if (reply === undefined) return;
    waiting.delete(offerIdentifier);
    cancelSlotRequest(node.gate, offerIdentifier);
    end(offerIdentifier, reply, refuse(reason));
  }

  return {
    receiveOffer: (offerIdentifier, reply) => {
      const now = node.clock.now();
      if (!tryHoldOffer(node.offers, { offerIdentifier, now })) {
        end(offerIdentifier, reply, refuse(RefusalReason.Fenced));
        return;
      }
      const request = createSlotRequest(offerIdentifier, now);
      match(requestSlot(node.gate, request, { now }))
        .with(
          { kind: SlotDecisionKind.Granted },
          () => run(offerIdentifier, reply),
        )
        .with(
          { kind: SlotDecisionKind.Queued },
          () => void waiting.set(offerIdentifier, reply),
        )
        .with(
          { kind: SlotDecisionKind.Refused },
          ({ reason }) => end(offerIdentifier, reply, refuse(reason)),
        )
        .exhaustive();
    },
    receiveCancellation: (offerIdentifier) => {
      waiting.delete(offerIdentifier);
      cancelSlotRequest(node.gate, offerIdentifier);
      const now = node.clock.now();
      releaseOffer(node.offers, { offerIdentifier, now });
      // The connection of a running exchange is closed.
      Array.from(exchanges)
        .filter(([, offer]) => offer === offerIdentifier)
        .forEach(([connection]) => {
          exchanges.delete(connection);
          release(offerIdentifier);
        });
    },
    receiveWithdrawal: (offerIdentifier) => {
      withdrawOffer(node.offers, { offerIdentifier, now: node.clock.now() });
      refuseWaiting(offerIdentifier, RefusalReason.OfferWithdrawn);
    },
    isOccupied: () => occupied,
    freeSlot: () => {
      occupied = false;
      release(otherOffer);
    },
    restart: () => {
      node = createNode();
      occupied = false;
      waiting.clear();
      exchanges.clear();
      idleConnections = [];
    },
  };
}

function createSlotRequest(offerIdentifier: string, now: number): SlotRequest {
  const deadline = now + remainingMilliseconds;
  return {
    offerIdentifier,
    route: "orders",
    getFingerprint: () => offerIdentifier,
    priority: 1,
    goalDeadline: deadline,
    deadline,
    waitDeadline: deadline,
    mayComeBack: true,
    shareKey: "vitrine",
    isNested: false,
  };
}
