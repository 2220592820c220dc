import { match } from "ts-pattern";
import { noteAnswer } from "../balancing/note_answer.ts";
import { noteContactFailure } from "../balancing/note_contact_failure.ts";
import { noteGateRefusal } from "../balancing/note_gate_refusal.ts";
import { isFullReason } from "../balancing/is_full_reason.ts";
import { noteLoad } from "../balancing/note_load.ts";
import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { countRetryRequest } from "../retries/count_retry_request.ts";
import { CallKind } from "../routing/call_kind.ts";
import { CallEndKind } from "./call_end_kind.ts";
import type { CallEnd } from "./call_end.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallPlan } from "./call_plan.ts";
import type { CallRun } from "./call_run.ts";
import { chooseCandidate } from "./choose_candidate.ts";
import { collectAnswerBody } from "./collect_answer_body.ts";
import { createCallRefusal } from "./create_call_refusal.ts";
import { getRetryCounts } from "./get_retry_counts.ts";
import { getWaitDeadline } from "./get_wait_deadline.ts";
import { makeOffer } from "./make_offer.ts";
import type { MeshNode } from "./mesh_node.ts";
import { noteAnswerBytes } from "./note_answer_bytes.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { trySpendCallRepeat } from "./try_spend_call_repeat.ts";

const failureStatusMinimum = 500;

type Refused = Extract<OfferOutcome, { kind: OfferOutcomeKind.Refused }>;
type Answered = Extract<OfferOutcome, { kind: OfferOutcomeKind.Answered }>;

/**
 * Takes a call to its end. The first round asks for a free slot, the best
 * candidate first; where none is free, the second round lets the call wait
 * where the wait is shortest.
 *
 * A non-idempotent call goes on to another backend server only after a
 * statement that it has not run and never will.
 */
export async function runCall(
  node: MeshNode,
  plan: CallPlan,
): Promise<CallEnd> {
  countRetryRequest(getRetryCounts(node, plan.service), {
    allowance: node.settings.retryAllowance,
    now: node.clock.now(),
  });
  const run: CallRun = {
    attempts: 0,
    mayHaveRun: false,
    asked: new Set(),
    waits: new Map(),
    lastReason: undefined,
    fallback: undefined,
    mayWait: false,
  };
  while (!plan.signal.aborted) {
    const candidate = chooseCandidate(node, plan, run);
    if (candidate === undefined) {
      if (run.mayWait) break;
      run.mayWait = true;
      continue;
    }
    const end = await askCandidate(node, plan, { run, candidate });
    if (end !== undefined) return end;
  }
  return run.fallback ?? createCallRefusal(node, plan, run);
}

/** Returns the end of the call, or undefined where the next candidate is to be asked. */
async function askCandidate(
  node: MeshNode,
  plan: CallPlan,
  options: { readonly run: CallRun; readonly candidate: GateCandidate },
): Promise<CallEnd | undefined> {
  const { run, candidate } = options;
  const { entry, view } = candidate;
  const offeredAt = node.clock.now();
  const waitDeadline = getWaitDeadline(plan, run, {
    candidate,
    now: offeredAt,
  });
  run.asked.add(entry.identifier);
  view.inFlight += 1;
  const outcome = await makeOffer(node, plan, { candidate, waitDeadline });
  const now = node.clock.now();
  if (outcome.load !== undefined) noteLoad(view, { load: outcome.load, now });
  const end = await match(outcome)
    .with(
      { kind: OfferOutcomeKind.Answered },
      (answered) => takeAnswer(node, plan, { ...options, answered, offeredAt }),
    )
    .with(
      { kind: OfferOutcomeKind.Refused },
      (refused) => takeRefusal(node, plan, { ...options, refused }),
    )
    .with(
      { kind: OfferOutcomeKind.Lost },
      ({ reason }) => takeLoss(node, plan, { ...options, reason }),
    )
    .exhaustive();
  view.inFlight -= 1;
  return end;
}

async function takeAnswer(
  node: MeshNode,
  plan: CallPlan,
  options: {
    readonly run: CallRun;
    readonly candidate: GateCandidate;
    readonly answered: Answered;
    readonly offeredAt: number;
  },
): Promise<CallEnd | undefined> {
  const { run, candidate, answered } = options;
  const body = await collectAnswerBody(answered);
  if (body.isErr) {
    return takeLoss(node, plan, { ...options, reason: body.error });
  }
  run.attempts += 1;
  // The end of an answer without a length may be its end, or a break.
  const failed = answered.status >= failureStatusMinimum || !answered.framed;
  noteAnswer(candidate.view, {
    route: plan.route.name,
    elapsedMilliseconds: node.clock.now() - options.offeredAt,
    failed,
  });
  noteAnswerBytes(node, {
    route: plan.route.name,
    bytes: body.value.held.byteLength,
  });
  const end: CallEnd = {
    kind: CallEndKind.Answered,
    status: answered.status,
    headers: answered.headers,
    body: body.value,
    backendServer: candidate.entry.identifier,
  };
  if (!failed) return end;
  // A failure of its own comes after the backend server has begun to run the request.
  run.mayHaveRun = true;
  if (!tryRepeat(node, plan, run)) return end;
  run.fallback = end;
  return undefined;
}

function takeRefusal(
  node: MeshNode,
  plan: CallPlan,
  options: {
    readonly run: CallRun;
    readonly candidate: GateCandidate;
    readonly refused: Refused;
  },
): CallEnd | undefined {
  const { run, candidate, refused } = options;
  const { entry, view } = candidate;
  const now = node.clock.now();
  const { reason, retryMilliseconds } = refused;
  run.lastReason = reason;
  if (plan.signal.aborted) return undefined;
  reportOffer(node, plan, {
    ...options,
    kind: CallEventKind.OfferRefused,
    reason,
  });
  if (refused.load === undefined) {
    noteContactFailure(view, now);
  } else {
    noteGateRefusal(view, { reason, retryMilliseconds, now });
  }
  if (isFullReason(reason)) {
    run.waits.set(entry.identifier, retryMilliseconds);
    if (!run.mayWait) run.asked.delete(entry.identifier);
  }
  if (!refused.reachedBackendServer) return undefined;
  run.attempts += 1;
  noteAnswer(view, {
    route: plan.route.name,
    elapsedMilliseconds: 0,
    failed: true,
  });
  return tryRepeat(node, plan, run)
    ? undefined
    : run.fallback ?? createCallRefusal(node, plan, run);
}

function takeLoss(
  node: MeshNode,
  plan: CallPlan,
  options: {
    readonly run: CallRun;
    readonly candidate: GateCandidate;
    readonly reason: RefusalReason;
  },
): CallEnd | undefined {
  const { run, candidate, reason } = options;
  run.attempts += 1;
  run.mayHaveRun = true;
  run.lastReason = reason;
  if (plan.signal.aborted) return undefined;
  reportOffer(node, plan, { ...options, kind: CallEventKind.OfferLost });
  if (reason === RefusalReason.ContactLost) {
    noteContactFailure(candidate.view, node.clock.now());
  }
  noteAnswer(candidate.view, {
    route: plan.route.name,
    elapsedMilliseconds: 0,
    failed: true,
  });
  const mayRepeat = plan.route.kind === CallKind.Idempotent;
  return mayRepeat && tryRepeat(node, plan, run)
    ? undefined
    : run.fallback ?? createCallRefusal(node, plan, run);
}

/** Whether the call may be sent to one more backend server after it reached one; books the repeat. */
function tryRepeat(node: MeshNode, plan: CallPlan, run: CallRun): boolean {
  const isSafe = plan.route.kind === CallKind.Idempotent || !run.mayHaveRun;
  if (!isSafe || run.attempts >= plan.route.attemptsMaximum) return false;
  if (plan.signal.aborted) return false;
  if (!trySpendCallRepeat(node, plan.service)) return false;
  node.report.call({
    kind: CallEventKind.Repeated,
    call: plan.callIdentifier,
    route: plan.route.name,
    service: plan.service,
    attempts: run.attempts,
  });
  return true;
}

function reportOffer(
  node: MeshNode,
  plan: CallPlan,
  options: {
    readonly kind: CallEventKind;
    readonly candidate: GateCandidate;
    readonly run: CallRun;
    readonly reason: RefusalReason;
  },
): void {
  const { entry, view } = options.candidate;
  node.report.call({
    kind: options.kind,
    call: plan.callIdentifier,
    route: plan.route.name,
    service: plan.service,
    backendServer: entry.identifier,
    reason: options.reason,
    attempts: options.run.attempts,
    ...view.load,
  });
}
