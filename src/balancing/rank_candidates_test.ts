import test from "ava";
import { createRandomSource } from "../runtime/create_random_source.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createGateView } from "./create_gate_view.ts";
import type { GateCandidate } from "./gate_candidate.ts";
import type { GateView } from "./gate_view.ts";
import { rankCandidates } from "./rank_candidates.ts";

const now = 1_000_000;

function createCandidate(
  identifier: string,
  options: {
    readonly zone?: string;
    readonly view?: Partial<GateView>;
    readonly vanished?: boolean;
  } = {},
): GateCandidate {
  return {
    entry: createSampleEntry({ identifier, zone: options.zone ?? "sul-a" }),
    view: { ...createGateView(), judgedAt: now, ...options.view },
    vanished: options.vanished ?? false,
  };
}

function rank(candidates: readonly GateCandidate[]): readonly string[] {
  return rankCandidates(candidates, {
    now,
    random: createRandomSource(7),
    route: "catalogo",
    goalMilliseconds: 400,
    ownZone: "sul-a",
    answerBytes: 5_000,
  }).map(({ entry }) => entry.identifier);
}

const answered = (milliseconds: number) =>
  new Map([["catalogo", milliseconds]]);

test("the own zone comes first while it has room", (t) => {
  t.is(
    rank([
      createCandidate("far", { zone: "sul-b" }),
      createCandidate("near"),
    ])[0],
    "near",
  );
});

test("one zone full while others have room: the call leaves the zone", (t) => {
  const full = {
    load: { running: 12, queued: 20, slots: 12, cold: false },
    loadAt: now,
    answerMilliseconds: answered(120),
  };
  t.is(
    rank([
      createCandidate("near", { view: full }),
      createCandidate("far", {
        zone: "sul-b",
        view: { answerMilliseconds: answered(120) },
      }),
    ])[0],
    "far",
  );
});

test("slow backend server among fast ones: the fast one in another zone is better", (t) => {
  t.is(
    rank([
      createCandidate("slow", { view: { answerMilliseconds: answered(600) } }),
      createCandidate("fast", {
        zone: "sul-b",
        view: { answerMilliseconds: answered(120) },
      }),
    ])[0],
    "fast",
  );
});

test("grey failure with good health: a backend server that fails calls comes after a sound one", (t) => {
  t.is(
    rank([
      createCandidate("grey", { view: { failureShare: 0.5 } }),
      createCandidate("sound", { zone: "sul-b" }),
    ])[0],
    "sound",
  );
});

test("what the register dropped, or could not be reached, comes last", (t) => {
  t.deepEqual(
    rank([
      createCandidate("unreachable", { view: { avoidUntil: now + 500 } }),
      createCandidate("vanished", { vanished: true }),
      createCandidate("far", { zone: "sul-c" }),
    ]),
    ["far", "vanished", "unreachable"],
  );
});

test("bytes between zones: a fast backend server in another zone is no better while the near one is fast enough", (t) => {
  t.is(
    rank([
      createCandidate("near", { view: { answerMilliseconds: answered(170) } }),
      createCandidate("faster", {
        zone: "sul-b",
        view: { answerMilliseconds: answered(75) },
      }),
    ])[0],
    "near",
  );
});

test("many calls at once: backend servers of one zone share them, and a busy one comes after a free one", (t) => {
  const busy = {
    load: { running: 12, queued: 3, slots: 12, cold: false },
    loadAt: now,
    answerMilliseconds: answered(120),
  };
  t.is(
    rank([
      createCandidate("busy", { view: busy }),
      createCandidate("free", {
        view: { answerMilliseconds: answered(120) },
      }),
    ])[0],
    "free",
  );
});

test("recovery after a failure: what was seen long ago does not keep calls away from the own zone", (t) => {
  const old = {
    judgedAt: now - 10_000,
    failureShare: 0.4,
    answerMilliseconds: answered(700),
  };
  t.is(
    rank([
      createCandidate("near", { view: old }),
      createCandidate("far", {
        zone: "sul-b",
        view: { answerMilliseconds: answered(120) },
      }),
    ])[0],
    "near",
  );
});
