import { match } from "ts-pattern";
import { isKeyWithinLedger } from "../is_key_within_ledger.ts";
import type { KeySettlement } from "../key_settlement.ts";
import type { LedgerContext } from "../ledger_context.ts";
import type { LedgerEntry } from "../ledger_entry.ts";
import { LedgerEntryKind } from "../ledger_entry_kind.ts";
import type { LedgerEvent } from "../ledger_event.ts";
import { LedgerEventKind } from "../ledger_event_kind.ts";
import type { LedgerStep } from "../ledger_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { removePendingServer } from "./remove_pending_server.ts";
import { abortSettling } from "./abort_settling.ts";
import { isSettlingFor } from "./is_settling_for.ts";
import { handleKeyRequest } from "./handle_key_request.ts";

type SettlementReceived = Extract<
  LedgerEvent,
  { kind: LedgerEventKind.SettlementReceived }
>;

/** Handles the reply of another ledger to a query of a key. */
export function handleKeySettlement(
  entry: LedgerEntry | undefined,
  event: SettlementReceived,
  context: LedgerContext,
): LedgerStep {
  if (!isSettlingFor(entry, event)) {
    return { entry, effects: [] };
  }
  return match<KeySettlement, LedgerStep>(event.settlement)
    .with({ kind: SettlementKind.Finished }, (settlement) =>
      handleKeyRequest(
        { ...settlement, kind: LedgerEntryKind.Finished },
        { ...entry, kind: LedgerEventKind.Requested, predecessors: [] },
        context,
      ))
    .with(
      { kind: SettlementKind.Running },
      () =>
        abortSettling(entry, {
          reason: RefusalReason.KeyRunning,
          mayHaveRun: true,
        }),
    )
    .with(
      { kind: SettlementKind.Unknown },
      () =>
        abortSettling(entry, {
          reason: RefusalReason.KeyUnsettled,
          mayHaveRun: true,
        }),
    )
    .with(
      { kind: SettlementKind.NotRun },
      ({ ledgerSince, fencers }) =>
        isKeyWithinLedger(entry.firstAttemptAt, { ...context, ledgerSince })
          ? removePendingServer(entry, event.from, { named: fencers })
          : abortSettling(entry, {
            reason: RefusalReason.KeyUnsettled,
            mayHaveRun: false,
          }),
    )
    .exhaustive();
}
