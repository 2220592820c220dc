import { match } from "ts-pattern";
import type { BackendServerView } from "./backend_server_view.ts";
import type { ViewEvent } from "./view_event.ts";
import type { PeerRecord } from "../peers/peer_record.ts";
import { ViewEventKind } from "./view_event_kind.ts";

const firstAvoidanceMilliseconds = 200;
const longestAvoidanceMilliseconds = 5000;
/** How long a load on an answer outweighs the one of a record. */
const loadReportMilliseconds = 5000;
/** How long a node that takes no new work is left alone at first. */
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
    .with(
      { kind: ViewEventKind.RecordReceived },
      ({ record }) => takeRecord(view, record, { now }),
    )
    .with(
      { kind: ViewEventKind.ContactMade },
      () => ({ ...view, ...noFailures }),
    )
    .with(
      { kind: ViewEventKind.WorkRefused },
      () => refuseWork(view, now),
    )
    .with({ kind: ViewEventKind.WorkAccepted }, () => acceptWork(view))
    .with(
      { kind: ViewEventKind.ContactFailed },
      ({ processGone }) =>
        failContact({ ...view, processGone }, { now, random }),
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

function takeRecord(
  view: BackendServerView,
  record: PeerRecord,
  { now }: { readonly now: number },
): BackendServerView {
  const { record: former } = view;
  const isNewProcess = record.incarnation !== former?.incarnation;
  const isNewState = record.state !== former?.state ||
    record.backendServerState !== former.backendServerState;
  // Records come late in a large fleet; loads on answers are current.
  const load = now < view.reportedAt + loadReportMilliseconds
    ? {}
    : { freeSlots: record.freeSlots, reportedAt: now };
  return {
    ...(isNewState ? acceptWork(view) : view),
    record,
    recordReceivedAt: now,
    ...load,
    ...(isNewProcess ? noFailures : {}),
  };
}

/** Calls that were out together are refused together: they count once. */
function refuseWork(view: BackendServerView, now: number): BackendServerView {
  return now < view.avoidedUntil ? view : {
    ...view,
    workRefusals: view.workRefusals + 1,
    avoidedUntil: now + Math.min(
      longestAvoidanceMilliseconds,
      refusalAvoidanceMilliseconds * 2 ** view.workRefusals,
    ),
  };
}

function acceptWork(view: BackendServerView): BackendServerView {
  return {
    ...view,
    workRefusals: 0,
    avoidedUntil: view.failures > 0 ? view.avoidedUntil : 0,
  };
}

/** Calls that were out together fail together: they count once. */
function failContact(
  view: BackendServerView,
  context: { readonly now: number; readonly random: number },
): BackendServerView {
  const { now, random } = context;
  return view.failures > 0 && now < view.avoidedUntil ? view : {
    ...view,
    failures: view.failures + 1,
    probingUntil: 0,
    avoidedUntil: now + getAvoidance(view.failures, random),
  };
}

/** Exponential backoff, spread over the upper half so that nodes do not probe in step. */
function getAvoidance(failures: number, random: number): number {
  const longest = Math.min(
    longestAvoidanceMilliseconds,
    firstAvoidanceMilliseconds * 2 ** failures,
  );
  return Math.ceil(longest * (0.5 + random / 2));
}
