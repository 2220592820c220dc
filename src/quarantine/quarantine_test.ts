import test from "ava";
import { createQuarantineState } from "./create_quarantine_state.ts";
import { deleteExpiredSuspects } from "./delete_expired_suspects.ts";
import { getQuarantineEnd } from "./get_quarantine_end.ts";
import { listCrashEvidence } from "./list_crash_evidence.ts";
import { mergeCrashEvidence } from "./merge_crash_evidence.ts";
import type { QuarantineState } from "./quarantine_state.ts";
import { recordAnsweredRequest } from "./record_answered_request.ts";
import { recordCrash } from "./record_crash.ts";

const start = 1_000_000;

function getEnd(state: QuarantineState, fingerprint: string): number {
  return getQuarantineEnd(state.suspects.get(fingerprint));
}

/** Records a crash a second after the one before. */
function crash(
  state: QuarantineState,
  options: { readonly number: number; readonly running: readonly string[] },
) {
  const { number, running } = options;
  return recordCrash(state, {
    crashIdentifier: `crash-${number}`,
    running,
    now: start + number * 1_000,
  });
}

// Guards against a request that goes on to end backend servers.
test("a request is refused for a while after two crashes, and for long after three", (t) => {
  const state = createQuarantineState();
  crash(state, { number: 1, running: ["bad"] });
  t.is(getEnd(state, "bad"), 0);
  crash(state, { number: 2, running: ["bad"] });
  t.is(getEnd(state, "bad"), start + 2_000 + 10_000);
  crash(state, { number: 3, running: ["bad"] });
  t.true(getEnd(state, "bad") >= start + 3_000 + 600_000);
});

// Guards against the refusal of requests that ran beside the one that crashes.
test("in a further crash, only the requests that ran in the most crashes are suspected", (t) => {
  const state = createQuarantineState();
  crash(state, { number: 1, running: ["bad", "beside-1", "beside-2"] });
  crash(state, { number: 2, running: ["bad", "beside-3"] });
  crash(state, { number: 3, running: ["bad", "beside-1", "beside-3"] });
  t.is(state.suspects.get("bad")?.crashes, 3);
  ["beside-1", "beside-2", "beside-3"].forEach((fingerprint) =>
    t.is(getEnd(state, fingerprint), 0)
  );
});

// Guards against the refusal of a popular request that runs whenever something
// ends a backend server.
test("a request that was answered of late is not suspected, and an answer clears it", (t) => {
  const state = createQuarantineState();
  const popular = { fingerprint: "popular", now: start };
  recordAnsweredRequest(state, popular);
  [1, 2, 3].forEach((number) => crash(state, { number, running: ["popular"] }));
  t.is(state.suspects.size, 0);
  [101, 102].forEach((number) => crash(state, { number, running: ["other"] }));
  t.true(getEnd(state, "other") > 0);
  recordAnsweredRequest(state, { fingerprint: "other", now: start + 102_500 });
  t.is(getEnd(state, "other"), 0);
});

// Guards against the refusal of requests whose backend servers lost power
// together.
test("crashes at the same moment count as one", (t) => {
  const state = createQuarantineState();
  [1, 2, 3].forEach((number) =>
    recordCrash(state, {
      crashIdentifier: `crash-${number}`,
      running: ["request"],
      now: start + number,
    })
  );
  t.is(state.suspects.get("request")?.crashes, 1);
});

// Guards against a count that grows with the number of messages, or that depends
// on their order.
test("evidence that arrives again changes nothing, and nodes that exchange theirs agree", (t) => {
  const first = createQuarantineState();
  const second = createQuarantineState();
  crash(first, { number: 1, running: ["bad"] });
  crash(second, { number: 2, running: ["bad"] });
  const exchange = (from: QuarantineState, to: QuarantineState, now: number) =>
    listCrashEvidence(from).map((evidence) =>
      mergeCrashEvidence(to, { evidence, now })
    );
  t.deepEqual(exchange(first, second, start + 3_000), [true]);
  t.deepEqual(exchange(second, first, start + 3_000), [true]);
  t.deepEqual(exchange(first, second, start + 4_000), [false]);
  t.is(first.suspects.get("bad")?.crashes, 2);
  t.is(second.suspects.get("bad")?.crashes, 2);
});

// Guards against growth of the process with the number of requests.
test("memory is bounded, and suspicion ends", (t) => {
  const state = createQuarantineState();
  Array.from({ length: 20_000 }, (_, index) => {
    const fingerprint = `request-${index}`;
    recordAnsweredRequest(state, { fingerprint, now: start });
    crash(state, { number: 1, running: [`${fingerprint}-bad`] });
  });
  t.true(state.answeredAt.size <= 8_192 && state.suspects.size <= 4_096);
  deleteExpiredSuspects(state, start + 1_000 + 600_000);
  t.is(state.suspects.size, 0);
});
