import { match } from "ts-pattern";
import type { BackendServerView } from "./backend_server_view.ts";
import type { ViewEvent } from "./view_event.ts";
import type { PeerRecord } from "../peers/peer_record.ts";
import { ViewEventKind } from "./view_event_kind.ts";

const initialBackoffMilliseconds = 200;
const maximumBackoffMilliseconds = 5000;
/** How long the load reported on an answer takes precedence over the load of a peer record. */
const loadReportLifetimeMilliseconds = 5000;
/** Initial backoff towards a node that refuses all new calls. */
const initialRefusalBackoffMilliseconds = 1000;
/** How long a call sent as a probe keeps further calls away. */
const probeTimeoutMilliseconds = 1000;

/**
 * Returns the view of a backend server after an event; `context.random` is at
 * least 0 and below 1.
 */
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
      probingUntil: view.failures > 0 ? now + probeTimeoutMilliseconds : 0,
    }))
    .with(
      { kind: ViewEventKind.CallEnded },
      () => ({ ...view, freeSlots: view.freeSlots + 1 }),
    )
    .with(
      { kind: ViewEventKind.LoadReported },
      ({ freeSlots }) => ({ ...view, freeSlots, reportedAt: now }),
    )
    .with(
      { kind: ViewEventKind.RecordReceived },
      ({ record }) => applyRecord(view, record, { now }),
    )
    .with(
      { kind: ViewEventKind.ContactMade },
      () => ({ ...view, ...noFailures }),
    )
    .with(
      { kind: ViewEventKind.WorkRefused },
      () => recordWorkRefusal(view, now),
    )
    .with({ kind: ViewEventKind.WorkAccepted }, () => clearWorkRefusals(view))
    .with(
      { kind: ViewEventKind.ContactFailed },
      ({ processGone }) =>
        recordContactFailure({ ...view, processGone }, { now, random }),
    )
    .exhaustive();
}

const noFailures = {
  failures: 0,
  workRefusals: 0,
  avoidedUntil: 0,
  processGone: false,
  probingUntil: 0,
};

function applyRecord(
  view: BackendServerView,
  record: PeerRecord,
  { now }: { readonly now: number },
): BackendServerView {
  const { record: previous } = view;
  const isNewProcess = record.incarnation !== previous?.incarnation;
  const isNewState = record.state !== previous?.state ||
    record.backendServerState !== previous.backendServerState;
  // With many nodes, peer records are received late, while the loads on answers
  // are current.
  const load = now < view.reportedAt + loadReportLifetimeMilliseconds
    ? {}
    : { freeSlots: record.freeSlots, reportedAt: now };
  return {
    ...(isNewState ? clearWorkRefusals(view) : view),
    record,
    recordReceivedAt: now,
    ...load,
    ...(isNewProcess ? noFailures : {}),
  };
}

/**
 * Records a refusal of all new calls. Calls that were sent together are refused
 * together, so they count once.
 */
function recordWorkRefusal(
  view: BackendServerView,
  now: number,
): BackendServerView {
  return now < view.avoidedUntil ? view : {
    ...view,
    workRefusals: view.workRefusals + 1,
    avoidedUntil: now + Math.min(
      maximumBackoffMilliseconds,
      initialRefusalBackoffMilliseconds * 2 ** view.workRefusals,
    ),
  };
}

function clearWorkRefusals(view: BackendServerView): BackendServerView {
  return {
    ...view,
    workRefusals: 0,
    avoidedUntil: view.failures > 0 ? view.avoidedUntil : 0,
  };
}

/** Records a failed contact. Calls that were sent together fail together, so they count once. */
function recordContactFailure(
  view: BackendServerView,
  context: { readonly now: number; readonly random: number },
): BackendServerView {
  const { now, random } = context;
  return view.failures > 0 && now < view.avoidedUntil ? view : {
    ...view,
    failures: view.failures + 1,
    probingUntil: 0,
    avoidedUntil: now + computeBackoff(view.failures, random),
  };
}

/**
 * Returns the exponential backoff in milliseconds, with jitter in the upper
 * half so that nodes do not send their probes at the same time.
 */
function computeBackoff(failures: number, random: number): number {
  const longest = Math.min(
    maximumBackoffMilliseconds,
    initialBackoffMilliseconds * 2 ** failures,
  );
  return Math.ceil(longest * (0.5 + random / 2));
}
