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
import { crossOffServer } from "./cross_off_server.ts";
import { giveUpSettling } from "./give_up_settling.ts";
import { isSettlingFor } from "./is_settling_for.ts";
import { takeKeyRequest } from "./take_key_request.ts";

type Answered = Extract<LedgerEvent, { kind: LedgerEventKind.Answered }>;

/** Takes what another ledger says of a key. */
export function takeKeyAnswer(
  entry: LedgerEntry | undefined,
  event: Answered,
  context: LedgerContext,
): LedgerStep {
  if (!isSettlingFor(entry, event)) {
    return { entry, effects: [] };
  }
  return match<KeySettlement, LedgerStep>(event.settlement)
    .with({ kind: SettlementKind.Finished }, (settlement) =>
      takeKeyRequest(
        { ...settlement, kind: LedgerEntryKind.Finished },
        { ...entry, kind: LedgerEventKind.Requested, predecessors: [] },
        context,
      ))
    .with(
      { kind: SettlementKind.Running },
      () =>
        giveUpSettling(entry, {
          reason: RefusalReason.KeyRunning,
          mayHaveRun: true,
        }),
    )
    .with(
      { kind: SettlementKind.Unknown },
      () =>
        giveUpSettling(entry, {
          reason: RefusalReason.KeyUnsettled,
          mayHaveRun: true,
        }),
    )
    .with(
      { kind: SettlementKind.NotRun },
      ({ ledgerSince, fencers }) =>
        isKeyWithinLedger(entry.firstAttemptAt, { ...context, ledgerSince })
          ? crossOffServer(entry, event.from, { named: fencers })
          : giveUpSettling(entry, {
            reason: RefusalReason.KeyUnsettled,
            mayHaveRun: false,
          }),
    )
    .exhaustive();
}
