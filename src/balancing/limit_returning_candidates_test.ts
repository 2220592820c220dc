import test from "ava";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { createGateView } from "./create_gate_view.ts";
import type { GateCandidate } from "./gate_candidate.ts";
import { limitReturningCandidates } from "./limit_returning_candidates.ts";
import { noteAnswer } from "./note_answer.ts";
import { noteContactFailure } from "./note_contact_failure.ts";
import { noteGateRefusal } from "./note_gate_refusal.ts";

const now = 1_000_000;
/** Each sender has so many calls for the service at the moment of the return. */
const callsOfSender = 7;
const senders = 30;

function createCandidate(identifier: string): GateCandidate {
  return {
    entry: createSampleEntry({ identifier }),
    view: createGateView(),
    vanished: false,
  };
}

function answer({ view }: GateCandidate): void {
  noteAnswer(view, { route: "r", elapsedMilliseconds: 90, failed: false, now });
}

/** Sends calls to the candidate that looks best, the one that just returned; returns how many got there. */
function sendAll(candidates: readonly GateCandidate[]): number {
  const [returned] = candidates;
  return Array.from({ length: callsOfSender }).filter(() => {
    const [best] = limitReturningCandidates(candidates, now);
    if (best !== returned) return false;
    best!.view.inFlight += 1;
    return true;
  }).length;
}

test("herd on a node that has just returned: each sender sends one call until it has answered", (t) => {
  const sent = Array.from({ length: senders }, () => {
    const returned = createCandidate("returned");
    const proven = createCandidate("proven");
    answer(proven);
    answer(returned);
    noteContactFailure(returned.view, now - 10_000);
    return sendAll([returned, proven]);
  });
  t.is(sent.reduce((sum, count) => sum + count, 0), senders);
});

test("a node that has said that it stops counts as one that returns", (t) => {
  const returned = createCandidate("returned");
  const proven = createCandidate("proven");
  [returned, proven].forEach(answer);
  noteGateRefusal(returned.view, {
    reason: RefusalReason.NodeDraining,
    retryMilliseconds: 0,
    now: now - 10_000,
  });
  t.is(sendAll([returned, proven]), 1);
});

test("a node that has answered gets calls without a limit", (t) => {
  const returned = createCandidate("returned");
  const proven = createCandidate("proven");
  [returned, proven].forEach(answer);
  t.is(sendAll([returned, proven]), callsOfSender);
});

test("where no node has answered yet, none is limited", (t) => {
  const candidates = [createCandidate("a"), createCandidate("b")];
  t.is(sendAll(candidates), callsOfSender);
});

test("a node that has answered and is avoided now is no reason to limit others", (t) => {
  const unproven = createCandidate("a");
  const avoided = createCandidate("b");
  answer(avoided);
  avoided.view.avoidUntil = now + 1_000;
  t.is(sendAll([unproven, avoided]), callsOfSender);
});
