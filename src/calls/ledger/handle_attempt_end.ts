import { match } from "ts-pattern";
import type { LedgerEffect } from "../ledger_effect.ts";
import { LedgerEffectKind } from "../ledger_effect_kind.ts";
import type { LedgerEntry } from "../ledger_entry.ts";
import { LedgerEntryKind } from "../ledger_entry_kind.ts";
import type { LedgerEvent } from "../ledger_event.ts";
import { LedgerEventKind } from "../ledger_event_kind.ts";
import type { LedgerStep } from "../ledger_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { createFence } from "./create_fence.ts";

type AttemptEnded = Extract<
  LedgerEvent,
  { kind: LedgerEventKind.AttemptEnded }
>;
type Running = Extract<LedgerEntry, { kind: LedgerEntryKind.Running }>;

/** Records how an attempt ended. */
export function handleAttemptEnd(
  entry: LedgerEntry | undefined,
  event: AttemptEnded,
): LedgerStep {
  return match(entry)
    .with(
      { kind: LedgerEntryKind.Running },
      (running) =>
        running.attemptIdentifier === event.attemptIdentifier
          ? endRun(running, event)
          : { entry: removeJoinedAttempt(running, event), effects: [] },
    )
    .with({ kind: LedgerEntryKind.Settling }, (settling) => ({
      entry: settling.attemptIdentifier === event.attemptIdentifier
        ? createEntryAfterRun(settling, event) ?? createFence(settling.fencers)
        : settling,
      effects: [],
    }))
    .otherwise(() => ({ entry, effects: [] }));
}

function removeJoinedAttempt(
  entry: Running,
  { attemptIdentifier }: { readonly attemptIdentifier: string },
): Running {
  const joined = entry.joined.filter((joiner) => joiner !== attemptIdentifier);
  return { ...entry, joined };
}

/** Ends a run and sends its outcome to every attempt that joined it. */
function endRun(entry: Running, event: AttemptEnded): LedgerStep {
  const isAnswered = event.outcome === SettlementKind.Finished;
  const { answer } = event;
  return {
    entry: createEntryAfterRun(entry, event),
    effects: entry.joined.map((attemptIdentifier): LedgerEffect =>
      isAnswered && answer !== undefined
        ? { kind: LedgerEffectKind.SendStoredAnswer, attemptIdentifier, answer }
        : {
          kind: LedgerEffectKind.Refuse,
          attemptIdentifier,
          ...getJoinedRefusal(event.outcome),
        }
    ),
  };
}

function getJoinedRefusal(
  outcome: AttemptEnded["outcome"],
): { readonly reason: RefusalReason; readonly mayHaveRun: boolean } {
  return outcome === SettlementKind.NotRun
    ? { reason: RefusalReason.KeyRunning, mayHaveRun: false }
    : { reason: RefusalReason.KeyUnsettled, mayHaveRun: true };
}

/** Returns the entry of a key after its attempt ended; undefined if the attempt did not run. */
function createEntryAfterRun(
  { fingerprint }: { readonly fingerprint: string },
  event: AttemptEnded,
): LedgerEntry | undefined {
  return match(event.outcome)
    .with(SettlementKind.Finished, () => ({
      kind: LedgerEntryKind.Finished as const,
      fingerprint,
      answer: event.answer,
    }))
    .with(SettlementKind.Unknown, () => ({
      kind: LedgerEntryKind.Unknown as const,
      fingerprint,
    }))
    .with(SettlementKind.NotRun, () => undefined)
    .exhaustive();
}
