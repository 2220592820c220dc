import test from "ava";
import { createRandomSource } from "../runtime/create_random_source.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createGateView } from "./create_gate_view.ts";
import type { GateCandidate } from "./gate_candidate.ts";
import type { GateView } from "./gate_view.ts";
import { rankCandidates } from "./rank_candidates.ts";

const now = 1_000_000;
const meanAnswerMilliseconds = 120;

function createCandidate(
  identifier: string,
  options: {
    readonly zone?: string;
    readonly view?: Partial<GateView>;
    readonly isRemoved?: boolean;
  } = {},
): GateCandidate {
  return {
    entry: createSampleEntry({ identifier, zone: options.zone ?? "sul-a" }),
    view: {
      ...createGateView(),
      lastOutcomeAt: now,
      slownessAt: options.view?.lastOutcomeAt ?? now,
      ...options.view,
    },
    isRemoved: options.isRemoved ?? false,
  };
}

function rank(candidates: readonly GateCandidate[]): readonly string[] {
  return rankCandidates(candidates, {
    now,
    random: createRandomSource(7),
    route: "catalogo",
    meanAnswerMilliseconds,
    goalMilliseconds: 400,
    ownZone: "sul-a",
    answerBytes: 5_000,
  }).map(({ entry }) => entry.identifier);
}

/** The slowness of a backend server whose answers take `milliseconds`. */
const answered = (milliseconds: number) =>
  milliseconds / meanAnswerMilliseconds;

test("candidates of the own zone come first while they have free slots", (t) => {
  t.is(
    rank([
      createCandidate("far", { zone: "sul-b" }),
      createCandidate("near"),
    ])[0],
    "near",
  );
});

test("one zone full while others have free slots: a candidate of another zone comes first", (t) => {
  const full = {
    load: { running: 12, queued: 20, slots: 12, cold: false },
    loadReceivedAt: now,
    slowness: answered(120),
  };
  t.is(
    rank([
      createCandidate("near", { view: full }),
      createCandidate("far", {
        zone: "sul-b",
        view: { slowness: answered(120) },
      }),
    ])[0],
    "far",
  );
});

test("slow backend server among fast ones: a fast one in another zone comes first", (t) => {
  t.is(
    rank([
      createCandidate("slow", { view: { slowness: answered(600) } }),
      createCandidate("fast", {
        zone: "sul-b",
        view: { slowness: answered(120) },
      }),
    ])[0],
    "fast",
  );
});

test("grey failure with successful probes: a backend server that fails calls comes after a healthy one", (t) => {
  t.is(
    rank([
      createCandidate("grey", { view: { failureRate: 0.5 } }),
      createCandidate("healthy", { zone: "sul-b" }),
    ])[0],
    "healthy",
  );
});

test("backend servers that were removed from the register or could not be reached come last", (t) => {
  t.deepEqual(
    rank([
      createCandidate("unreachable", { view: { avoidUntil: now + 500 } }),
      createCandidate("removed", { isRemoved: true }),
      createCandidate("far", { zone: "sul-c" }),
    ]),
    ["far", "removed", "unreachable"],
  );
});

test("bytes between zones: a faster backend server in another zone comes after one of the own zone that is fast enough", (t) => {
  t.is(
    rank([
      createCandidate("near", { view: { slowness: answered(170) } }),
      createCandidate("faster", {
        zone: "sul-b",
        view: { slowness: answered(75) },
      }),
    ])[0],
    "near",
  );
});

test("many calls at once: backend servers of one zone share them, so a busy one comes after a free one", (t) => {
  const busy = {
    load: { running: 12, queued: 3, slots: 12, cold: false },
    loadReceivedAt: now,
    slowness: answered(120),
  };
  t.is(
    rank([
      createCandidate("busy", { view: busy }),
      createCandidate("free", {
        view: { slowness: answered(120) },
      }),
    ])[0],
    "free",
  );
});

test("recovery after a failure: old observations do not keep calls away from the own zone", (t) => {
  const old = {
    lastOutcomeAt: now - 10_000,
    failureRate: 0.4,
    slowness: answered(700),
  };
  t.is(
    rank([
      createCandidate("near", { view: old }),
      createCandidate("far", {
        zone: "sul-b",
        view: { slowness: answered(120) },
      }),
    ])[0],
    "near",
  );
});
