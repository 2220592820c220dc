import { createExpiringMap } from "../../src/calls/create_expiring_map.ts";
import { getRequestFingerprint } from "../../src/calls/get_request_fingerprint.ts";
import type { ExpiringMap } from "../../src/calls/expiring_map.ts";
import type { LedgerContext } from "../../src/calls/ledger_context.ts";
import type { LedgerEntry } from "../../src/calls/ledger_entry.ts";
import { LedgerEventKind } from "../../src/calls/ledger_event_kind.ts";
import type { LedgerEvent } from "../../src/calls/ledger_event.ts";
import { SettlementKind } from "../../src/calls/settlement_kind.ts";
import { stepLedger } from "../../src/calls/step_ledger.ts";
import { measureElapsed } from "../measure_elapsed.ts";
import { measureHeapGrowth } from "../measure_heap_growth.ts";
import type { LedgerSample } from "./ledger_sample.ts";

const startInstant = 1_764_800_000_000;
const keyLifetimeMilliseconds = 600_000;
const bodyBytes = 500;

/**
 * Processes `keys` calls, each with its own key, in a ledger that keeps at most
 * `bodyBytesMaximum` bytes of answer bodies. Measures the memory that the ledger
 * retains and the mean time to process the events of one key.
 */
export function sampleLedger(
  keys: number,
  bodyBytesMaximum: number,
): LedgerSample {
  const context: LedgerContext = {
    now: startInstant,
    ledgerSince: startInstant - 2 * keyLifetimeMilliseconds,
    keyLifetimeMilliseconds,
    clockSkewMilliseconds: 0,
  };
  let milliseconds = 0;
  const bytes = measureHeapGrowth(() => {
    const entries = createEntries(bodyBytesMaximum);
    milliseconds = measureElapsed(() =>
      Array.from({ length: keys }, (_, index) =>
        processCall(entries, `order-${index}`, context))
    ).milliseconds;
    return entries;
  });
  return { keys, bytes, millisecondsPerKey: milliseconds / keys };
}

function createEntries(maximumBytes: number): ExpiringMap<LedgerEntry> {
  return createExpiringMap<LedgerEntry>({
    maximumBytes,
    getBytes: (entry) =>
      "answer" in entry ? entry.answer?.body.byteLength ?? 0 : 0,
    strip: (entry) =>
      "answer" in entry ? { ...entry, answer: undefined } : entry,
  });
}

function processCall(
  entries: ExpiringMap<LedgerEntry>,
  key: string,
  context: LedgerContext,
): void {
  const attemptIdentifier = `attempt of ${key}`;
  const apply = (event: LedgerEvent) => {
    const { entry } = stepLedger(entries.get(key, context.now), event, context);
    if (entry !== undefined) {
      entries.set(key, entry, context.now + context.keyLifetimeMilliseconds);
    }
  };
  entries.sweep(context.now);
  apply({
    kind: LedgerEventKind.Requested,
    fingerprint: getRequestFingerprint({
      method: "POST",
      path: `/encomendas/${key}`,
      body: undefined,
    }),
    attemptIdentifier,
    firstAttemptAt: context.now,
    predecessors: [],
  });
  apply({
    kind: LedgerEventKind.AttemptEnded,
    attemptIdentifier,
    outcome: SettlementKind.Finished,
    answer: {
      head: {
        status: 200,
        headers: ["content-type", "application/json"],
        declaredLength: bodyBytes,
      },
      body: new Uint8Array(bodyBytes),
    },
  });
}
