import { createBoundedLog } from "../telemetry/create_bounded_log.ts";
import { BackendExchangeKind } from "./backend_exchange_kind.ts";
import type { CallEvent } from "./call_event.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { MeshReporter } from "./mesh_reporter.ts";

/** One in this many successful calls is logged. */
const routineSampleInterval = 50;

/**
 * Creates the log of a node: JSON lines on standard output, written without
 * blocking.
 *
 * Of successful calls a sample is logged, the same calls on every node.
 * Failures and changes of the view are logged up to a number of lines per
 * second, and dropped lines are counted.
 */
export function createMeshLog(
  options: { readonly vm: string; readonly zone: string },
): MeshReporter {
  const { logger, tryAcquireLine } = createBoundedLog({ base: options });
  return {
    call: (event) => {
      if (isRoutine(event) && !isSampled(event.call)) return;
      if (tryAcquireLine()) logger.info(event);
    },
    viewChange: (change) => {
      if (tryAcquireLine()) logger.info(change);
    },
    state: (subject, fields) => logger.info({ subject, ...fields }),
  };
}

function isRoutine(event: CallEvent): boolean {
  return event.kind === CallEventKind.Answered ||
    event.kind === CallEventKind.Queued ||
    (event.kind === CallEventKind.Exchanged &&
      event.outcome === BackendExchangeKind.Answered);
}

/**
 * Depends on the call identifier only, so that all nodes log the same calls.
 */
function isSampled(callIdentifier: string): boolean {
  let sum = 0;
  // A loop, since an array of the letters costs more than the rest of the log.
  for (let index = 0; index < callIdentifier.length; index += 1) {
    sum += callIdentifier.charCodeAt(index);
  }
  return sum % routineSampleInterval === 0;
}
