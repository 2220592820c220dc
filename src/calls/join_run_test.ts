import test from "ava";
import { createDispatchState } from "./create_dispatch_state.ts";
import { DispatchEffectKind } from "./dispatch_effect_kind.ts";
import type { DispatchEvent } from "./dispatch_event.ts";
import { DispatchEventKind } from "./dispatch_event_kind.ts";
import type { LedgerContext } from "./ledger_context.ts";
import { LedgerEffectKind } from "./ledger_effect_kind.ts";
import type { LedgerEntry } from "./ledger_entry.ts";
import { LedgerEntryKind } from "./ledger_entry_kind.ts";
import type { LedgerEvent } from "./ledger_event.ts";
import { LedgerEventKind } from "./ledger_event_kind.ts";
import { Outcome } from "./outcome.ts";
import { RefusalReason } from "./refusal_reason.ts";
import { SettlementKind } from "./settlement_kind.ts";
import { stepDispatch } from "./step_dispatch.ts";
import { stepLedger } from "./step_ledger.ts";

const deadline = 1_000;
const context: LedgerContext = {
  now: 0,
  ledgerSince: 0,
  keyLifetimeMilliseconds: 600_000,
  clockSkewMilliseconds: 0,
};
const running: LedgerEntry = {
  kind: LedgerEntryKind.Running,
  fingerprint: "one cake",
  attemptIdentifier: "first",
  joined: ["second", "third"],
};

/** Returns the effects of one event on an attempt that joined a run. */
function stepJoined(event: DispatchEvent, now: number) {
  const created = createDispatchState({
    idempotent: false,
    keyed: true,
    deadline,
    now: 0,
    remote: true,
  });
  const arrived = stepDispatch(
    created,
    { kind: DispatchEventKind.Arrived, refusalReason: undefined },
    { now: 0 },
  );
  const joined = stepDispatch(
    arrived.state,
    { kind: DispatchEventKind.KeyJoined },
    { now: 0 },
  );
  return stepDispatch(joined.state, event, { now }).effects;
}

function endRun(outcome: SettlementKind.NotRun | SettlementKind.Unknown) {
  const event: LedgerEvent = {
    kind: LedgerEventKind.AttemptEnded,
    attemptIdentifier: "first",
    outcome,
    answer: undefined,
  };
  return stepLedger(running, event, context);
}

test("an attempt that waits for a run is never refused as not run", (t) => {
  [
    { event: DispatchEventKind.TimerFired, now: deadline } as const,
    { event: DispatchEventKind.Stopped, now: 1 } as const,
  ].forEach(({ event, now }) => {
    const [recorded, refused] = stepJoined({ kind: event }, now);
    t.like(recorded, {
      kind: DispatchEffectKind.RecordOutcome,
      outcome: SettlementKind.Unknown,
    });
    t.like(refused, {
      kind: DispatchEffectKind.Refuse,
      refusal: { refusal: { outcome: Outcome.Unknown } },
    });
  });
});

test("an attempt that waits for a run and loses its connection has an unknown outcome", (t) => {
  [DispatchEventKind.CallerLeft, DispatchEventKind.ContactLost].forEach((
    kind,
  ) =>
    t.deepEqual(stepJoined({ kind } as DispatchEvent, 1), [{
      kind: DispatchEffectKind.RecordOutcome,
      outcome: SettlementKind.Unknown,
      withAnswer: false,
    }])
  );
});

test("the outcome of a run is sent to every attempt that joined it", (t) => {
  const unknown = endRun(SettlementKind.Unknown);
  t.is(unknown.entry?.kind, LedgerEntryKind.Unknown);
  t.deepEqual(
    unknown.effects,
    ["second", "third"].map((attemptIdentifier) => ({
      kind: LedgerEffectKind.Refuse,
      attemptIdentifier,
      reason: RefusalReason.KeyUnsettled,
      mayHaveRun: true,
    })),
  );
  const notRun = endRun(SettlementKind.NotRun);
  t.is(notRun.entry, undefined);
  t.deepEqual(
    notRun.effects.map((effect) =>
      effect.kind === LedgerEffectKind.Refuse && effect.mayHaveRun
    ),
    [false, false],
  );
});

test("the end of an attempt that joined a run affects neither the run nor other attempts that joined it", (t) => {
  const { entry, effects } = stepLedger(running, {
    kind: LedgerEventKind.AttemptEnded,
    attemptIdentifier: "second",
    outcome: SettlementKind.Unknown,
    answer: undefined,
  }, context);
  t.deepEqual(entry, { ...running, joined: ["third"] });
  t.deepEqual(effects, []);
});

test("a different request with the key of a run is refused and does not join the run", (t) => {
  const { effects } = stepLedger(running, {
    kind: LedgerEventKind.Requested,
    fingerprint: "two cakes",
    attemptIdentifier: "fourth",
    firstAttemptAt: 0,
    predecessors: [],
  }, context);
  t.like(effects[0], {
    kind: LedgerEffectKind.Refuse,
    reason: RefusalReason.KeyMismatch,
  });
});
