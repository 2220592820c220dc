import { match, P } from "ts-pattern";
import type { LedgerContext } from "../ledger_context.ts";
import { LedgerEffectKind } from "../ledger_effect_kind.ts";
import type { LedgerEntry } from "../ledger_entry.ts";
import { LedgerEntryKind } from "../ledger_entry_kind.ts";
import type { LedgerEvent } from "../ledger_event.ts";
import { LedgerEventKind } from "../ledger_event_kind.ts";
import type { LedgerStep } from "../ledger_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { refuseKey } from "./refuse_key.ts";
import { handleNewKeyRequest } from "./handle_new_key_request.ts";

type Requested = Extract<LedgerEvent, { kind: LedgerEventKind.Requested }>;
type Running = Extract<LedgerEntry, { kind: LedgerEntryKind.Running }>;

/** Handles an attempt with a key. */
export function handleKeyRequest(
  entry: LedgerEntry | undefined,
  event: Requested,
  context: LedgerContext,
): LedgerStep {
  return match(entry)
    .with(
      P.union(undefined, { kind: LedgerEntryKind.Fenced }),
      (fenced) => handleNewKeyRequest(fenced?.fencers ?? [], event, context),
    )
    .with(
      { kind: LedgerEntryKind.Settling },
      (existing) =>
        refuseRecordedKey(existing, event, RefusalReason.KeyRunning),
    )
    .with(
      { kind: LedgerEntryKind.Running },
      (existing) => joinRun(existing, event),
    )
    .with(
      { kind: LedgerEntryKind.Unknown },
      (existing) =>
        refuseRecordedKey(existing, event, RefusalReason.KeyUnsettled),
    )
    .with(
      { kind: LedgerEntryKind.Finished },
      (existing) =>
        existing.answer === undefined ||
          existing.fingerprint !== event.fingerprint
          ? refuseRecordedKey(existing, event, RefusalReason.KeyUnsettled)
          : {
            entry: existing,
            effects: [
              {
                kind: LedgerEffectKind.SendStoredAnswer,
                attemptIdentifier: event.attemptIdentifier,
                answer: existing.answer,
              } as const,
            ],
          },
    )
    .exhaustive();
}

/** Lets a repeated request wait for the answer of the running one. */
function joinRun(entry: Running, event: Requested): LedgerStep {
  const { attemptIdentifier } = event;
  return entry.fingerprint === event.fingerprint
    ? {
      entry: { ...entry, joined: [...entry.joined, attemptIdentifier] },
      effects: [{ kind: LedgerEffectKind.Join, attemptIdentifier }],
    }
    : refuseRecordedKey(entry, event, RefusalReason.KeyMismatch);
}

function refuseRecordedKey(
  entry: LedgerEntry & { readonly fingerprint: string },
  event: Requested,
  reason: RefusalReason,
): LedgerStep {
  return refuseKey(
    entry,
    event,
    entry.fingerprint === event.fingerprint
      ? { reason, mayHaveRun: true }
      : { reason: RefusalReason.KeyMismatch, mayHaveRun: false },
  );
}
