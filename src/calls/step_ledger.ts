import { match } from "ts-pattern";
import { concludeKey } from "./ledger/conclude_key.ts";
import { replyToLedger } from "./ledger/reply_to_ledger.ts";
import { takeKeyAnswer } from "./ledger/take_key_answer.ts";
import { takeKeyRequest } from "./ledger/take_key_request.ts";
import { takeMissingAnswer } from "./ledger/take_missing_answer.ts";
import type { LedgerContext } from "./ledger_context.ts";
import type { LedgerEntry } from "./ledger_entry.ts";
import type { LedgerEvent } from "./ledger_event.ts";
import { LedgerEventKind } from "./ledger_event_kind.ts";
import type { LedgerStep } from "./ledger_step.ts";

/**
 * Advances one key of a ledger.
 *
 * Invariant over all ledgers of a service: before a ledger lets a key run, it
 * has a true "not run" from, and a fence in, every ledger that may have run it
 * before; a fenced ledger asks whoever fenced it before it runs the key itself.
 * So of two ledgers that both want to run a key, at least one learns of the
 * other. While a key settles here, other ledgers are told that it is running.
 */
export function stepLedger(
  entry: LedgerEntry | undefined,
  event: LedgerEvent,
  context: LedgerContext,
): LedgerStep {
  return match(event)
    .with(
      { kind: LedgerEventKind.Requested },
      (requested) => takeKeyRequest(entry, requested, context),
    )
    .with(
      { kind: LedgerEventKind.Answered },
      (answered) => takeKeyAnswer(entry, answered, context),
    )
    .with(
      { kind: LedgerEventKind.Unanswered },
      (unanswered) => takeMissingAnswer(entry, unanswered, context),
    )
    .with(
      { kind: LedgerEventKind.Asked },
      ({ by }) => replyToLedger(entry, by, context),
    )
    .with(
      { kind: LedgerEventKind.Concluded },
      (concluded) => concludeKey(entry, concluded),
    )
    .exhaustive();
}
