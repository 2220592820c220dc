import pino from "pino";
import type { BeliefChange } from "./belief_change.ts";
import type { CallEvent } from "./call_event.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { MeshReport } from "./mesh_report.ts";

/** Lines are handed to the system in portions of this size, and held back where nobody reads them. */
const portionBytes = 4_096;
const heldBytesMaximum = 1_048_576;
/** Lines on calls that are written in one second at most. */
const callLinesPerSecond = 50;
/** One in so many ordinary answers is written. */
const answeredSample = 50;
const millisecondsPerSecond = 1_000;

/**
 * Creates the report of a node as JSON lines on standard output. Writing never
 * blocks: lines beyond the bounds are dropped, ordinary answers first, and
 * the drops are counted.
 */
export function createMeshReport(
  options: { readonly vm: string; readonly zone: string },
): MeshReport {
  const destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: portionBytes,
    maxLength: heldBytesMaximum,
    periodicFlush: millisecondsPerSecond,
  });
  const logger = pino({ base: options }, destination);
  let second = 0;
  let lines = 0;
  let dropped = 0;
  let answered = 0;

  function isWithinBudget(): boolean {
    const current = Math.floor(Date.now() / millisecondsPerSecond);
    if (current !== second) {
      if (dropped > 0) {
        logger.warn({ dropped }, "Log lines on calls were dropped");
      }
      second = current;
      lines = 0;
      dropped = 0;
    }
    lines += 1;
    if (lines <= callLinesPerSecond) return true;
    dropped += 1;
    return false;
  }

  return {
    call: (event: CallEvent) => {
      if (event.kind === CallEventKind.Answered) {
        answered += 1;
        if (answered % answeredSample !== 0) return;
      }
      if (isWithinBudget()) logger.info(event);
    },
    belief: (change: BeliefChange) => logger.info(change),
    state: (subject, fields) => logger.info({ subject, ...fields }),
  };
}
