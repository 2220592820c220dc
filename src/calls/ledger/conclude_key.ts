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

type Concluded = Extract<LedgerEvent, { kind: LedgerEventKind.Concluded }>;
type Running = Extract<LedgerEntry, { kind: LedgerEntryKind.Running }>;

/** Takes how an attempt ended. */
export function concludeKey(
  entry: LedgerEntry | undefined,
  event: Concluded,
): LedgerStep {
  return match(entry)
    .with(
      { kind: LedgerEntryKind.Running },
      (running) =>
        running.attemptIdentifier === event.attemptIdentifier
          ? concludeRun(running, event)
          : { entry: leaveRun(running, event), effects: [] },
    )
    .with({ kind: LedgerEntryKind.Settling }, (settling) => ({
      entry: settling.attemptIdentifier === event.attemptIdentifier
        ? createConcluded(settling, event) ?? createFence(settling.fencers)
        : settling,
      effects: [],
    }))
    .otherwise(() => ({ entry, effects: [] }));
}

function leaveRun(
  entry: Running,
  { attemptIdentifier }: { readonly attemptIdentifier: string },
): Running {
  const joined = entry.joined.filter((joiner) => joiner !== attemptIdentifier);
  return { ...entry, joined };
}

/** Ends a run and tells every attempt that joined it what came of it. */
function concludeRun(entry: Running, event: Concluded): LedgerStep {
  const isAnswered = event.outcome === SettlementKind.Finished;
  const { answer } = event;
  return {
    entry: createConcluded(entry, event),
    effects: entry.joined.map((attemptIdentifier): LedgerEffect =>
      isAnswered && answer !== undefined
        ? { kind: LedgerEffectKind.AnswerWith, attemptIdentifier, answer }
        : {
          kind: LedgerEffectKind.Refuse,
          attemptIdentifier,
          ...getJoinedRefusal(event.outcome),
        }
    ),
  };
}

function getJoinedRefusal(
  outcome: Concluded["outcome"],
): { readonly reason: RefusalReason; readonly mayHaveRun: boolean } {
  return outcome === SettlementKind.NotRun
    ? { reason: RefusalReason.KeyRunning, mayHaveRun: false }
    : { reason: RefusalReason.KeyUnsettled, mayHaveRun: true };
}

/** Returns what is known of a key after its attempt ended; undefined where it did not run. */
function createConcluded(
  { fingerprint }: { readonly fingerprint: string },
  event: Concluded,
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
