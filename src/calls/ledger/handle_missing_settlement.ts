import type { LedgerContext } from "../ledger_context.ts";
import type { LedgerEntry } from "../ledger_entry.ts";
import type { LedgerEvent } from "../ledger_event.ts";
import { LedgerEventKind } from "../ledger_event_kind.ts";
import { ledgerQuietMilliseconds } from "../ledger_quiet_milliseconds.ts";
import type { LedgerStep } from "../ledger_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { removePendingServer } from "./remove_pending_server.ts";
import { abortSettling } from "./abort_settling.ts";
import { isSettlingFor } from "./is_settling_for.ts";

type SettlementMissing = Extract<
  LedgerEvent,
  { kind: LedgerEventKind.SettlementMissing }
>;

/**
 * Handles a query that another ledger did not reply to. Its server may have run
 * the key, unless its VM or its process was gone from before the first attempt
 * until now.
 */
export function handleMissingSettlement(
  entry: LedgerEntry | undefined,
  event: SettlementMissing,
  context: LedgerContext,
): LedgerStep {
  if (!isSettlingFor(entry, event)) {
    return { entry, effects: [] };
  }
  return wasGone(entry.firstAttemptAt, event, context)
    ? removePendingServer(entry, event.from, { named: [] })
    : abortSettling(entry, {
      reason: RefusalReason.KeyUnsettled,
      mayHaveRun: false,
    });
}

function wasGone(
  firstAttemptAt: number | undefined,
  event: SettlementMissing,
  context: LedgerContext,
): boolean {
  if (firstAttemptAt === undefined) {
    return false;
  }
  const { now, clockSkewMilliseconds } = context;
  const { goneAt, refused } = event;
  const isLater = (instant: number) =>
    firstAttemptAt > instant + clockSkewMilliseconds;
  const vmGone = goneAt !== undefined && isLater(goneAt);
  const processGone = refused !== undefined && isLater(refused.since) &&
    now + clockSkewMilliseconds < refused.lastAt + ledgerQuietMilliseconds;
  return vmGone || processGone;
}
