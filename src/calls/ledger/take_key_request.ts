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
import { requestUnseenKey } from "./request_unseen_key.ts";

type Requested = Extract<LedgerEvent, { kind: LedgerEventKind.Requested }>;
type Running = Extract<LedgerEntry, { kind: LedgerEntryKind.Running }>;

/** Takes an attempt at a key. */
export function takeKeyRequest(
  entry: LedgerEntry | undefined,
  event: Requested,
  context: LedgerContext,
): LedgerStep {
  return match(entry)
    .with(
      P.union(undefined, { kind: LedgerEntryKind.Fenced }),
      (fenced) => requestUnseenKey(fenced?.fencers ?? [], event, context),
    )
    .with(
      { kind: LedgerEntryKind.Settling },
      (seen) => refuseSeen(seen, event, RefusalReason.KeyRunning),
    )
    .with({ kind: LedgerEntryKind.Running }, (seen) => joinRun(seen, event))
    .with(
      { kind: LedgerEntryKind.Unknown },
      (seen) => refuseSeen(seen, event, RefusalReason.KeyUnsettled),
    )
    .with(
      { kind: LedgerEntryKind.Finished },
      (seen) =>
        seen.answer === undefined || seen.fingerprint !== event.fingerprint
          ? refuseSeen(seen, event, RefusalReason.KeyUnsettled)
          : {
            entry: seen,
            effects: [
              {
                kind: LedgerEffectKind.AnswerWith,
                attemptIdentifier: event.attemptIdentifier,
                answer: seen.answer,
              } as const,
            ],
          },
    )
    .exhaustive();
}

/** Lets a repeat of a running request wait for its answer, which is on its way. */
function joinRun(entry: Running, event: Requested): LedgerStep {
  const { attemptIdentifier } = event;
  return entry.fingerprint === event.fingerprint
    ? {
      entry: { ...entry, joined: [...entry.joined, attemptIdentifier] },
      effects: [{ kind: LedgerEffectKind.Join, attemptIdentifier }],
    }
    : refuseSeen(entry, event, RefusalReason.KeyMismatch);
}

function refuseSeen(
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
