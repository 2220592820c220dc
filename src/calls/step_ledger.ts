import { match } from "ts-pattern";
import { handleAttemptEnd } from "./ledger/handle_attempt_end.ts";
import { handleKeyQuery } from "./ledger/handle_key_query.ts";
import { handleKeySettlement } from "./ledger/handle_key_settlement.ts";
import { handleKeyRequest } from "./ledger/handle_key_request.ts";
import { handleMissingSettlement } from "./ledger/handle_missing_settlement.ts";
import type { LedgerContext } from "./ledger_context.ts";
import type { LedgerEntry } from "./ledger_entry.ts";
import type { LedgerEvent } from "./ledger_event.ts";
import { LedgerEventKind } from "./ledger_event_kind.ts";
import type { LedgerStep } from "./ledger_step.ts";

/**
 * Returns the entry of a key in a ledger after an event, and the effects to
 * perform.
 *
 * Invariant over all ledgers of a service: before a ledger allows a key to run,
 * every ledger that may have run it before has replied "not-run" truthfully and
 * is fenced. A fenced ledger queries those that fenced it before it allows the
 * key itself. So if two ledgers request the same key, at least one of them
 * detects the other. While a ledger settles a key, it replies to other ledgers
 * that the key is running.
 */
export function stepLedger(
  entry: LedgerEntry | undefined,
  event: LedgerEvent,
  context: LedgerContext,
): LedgerStep {
  return match(event)
    .with(
      { kind: LedgerEventKind.Requested },
      (requested) => handleKeyRequest(entry, requested, context),
    )
    .with(
      { kind: LedgerEventKind.SettlementReceived },
      (received) => handleKeySettlement(entry, received, context),
    )
    .with(
      { kind: LedgerEventKind.SettlementMissing },
      (missing) => handleMissingSettlement(entry, missing, context),
    )
    .with(
      { kind: LedgerEventKind.Queried },
      ({ by }) => handleKeyQuery(entry, by, context),
    )
    .with(
      { kind: LedgerEventKind.AttemptEnded },
      (ended) => handleAttemptEnd(entry, ended),
    )
    .exhaustive();
}
