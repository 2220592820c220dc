import { match } from "ts-pattern";
import type { BackendServerView } from "./backend_server_view.ts";
import type { ViewEvent } from "./view_event.ts";
import { ViewEventKind } from "./view_event_kind.ts";

const firstAvoidanceMilliseconds = 200;
const longestAvoidanceMilliseconds = 5000;
/** How long a node that takes no new work is left alone, unless its record changes before. */
const refusalAvoidanceMilliseconds = 1000;
/** How long a probing call may take before another one is sent. */
const probeMilliseconds = 1000;

/** Advances the view of one backend server; `random` is at least 0 and below 1. */
export function stepBackendServerView(
  view: BackendServerView,
  event: ViewEvent,
  context: { readonly now: number; readonly random: number },
): BackendServerView {
  const { now, random } = context;
  return match(event)
    .with({ kind: ViewEventKind.CallSent }, () => ({
      ...view,
      freeSlots: view.freeSlots - 1,
      probingUntil: view.failures > 0 ? now + probeMilliseconds : 0,
    }))
    .with(
      { kind: ViewEventKind.CallEnded },
      () => ({ ...view, freeSlots: view.freeSlots + 1 }),
    )
    .with(
      { kind: ViewEventKind.LoadReported },
      ({ freeSlots }) => ({ ...view, freeSlots, reportedAt: now }),
    )
    .with({ kind: ViewEventKind.RecordReceived }, ({ record }) => ({
      ...view,
      record,
      freeSlots: record.freeSlots,
      reportedAt: now,
      // A new process on the VM has no failed contacts yet.
      ...(record.incarnation === view.record?.incarnation ? {} : noFailures),
    }))
    .with(
      { kind: ViewEventKind.ContactMade },
      () => ({ ...view, ...noFailures }),
    )
    .with({ kind: ViewEventKind.WorkRefused }, () => ({
      ...view,
      avoidedUntil: now + refusalAvoidanceMilliseconds,
    }))
    .with({ kind: ViewEventKind.ContactFailed }, ({ processGone }) => ({
      ...view,
      processGone,
      failures: view.failures + 1,
      probingUntil: 0,
      avoidedUntil: now + getAvoidance(view.failures, random),
    }))
    .exhaustive();
}

const noFailures = {
  failures: 0,
  avoidedUntil: 0,
  processGone: false,
  probingUntil: 0,
};

/** Exponential backoff, spread over the upper half so that nodes do not probe in step. */
function getAvoidance(failures: number, random: number): number {
  const longest = Math.min(
    longestAvoidanceMilliseconds,
    firstAvoidanceMilliseconds * 2 ** failures,
  );
  return Math.ceil(longest * (0.5 + random / 2));
}
