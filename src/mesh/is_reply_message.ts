import type { GateLoad } from "../balancing/gate_load.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import type { ServerDeparture } from "../register/server_departure.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import type { ReplyMessage } from "./reply_message.ts";

const kinds: readonly unknown[] = Object.values(OfferOutcomeKind);
const reasons: readonly unknown[] = Object.values(RefusalReason);

/** Whether an amount is absent or a finite number that is not negative. */
function isAmount(input: unknown): boolean {
  return input === undefined ||
    (typeof input === "number" && Number.isFinite(input) && input >= 0);
}

function isGateLoad(input: unknown): input is GateLoad {
  if (typeof input !== "object" || input === null) return false;
  const load = input as Partial<Record<keyof GateLoad, unknown>>;
  return typeof load.cold === "boolean" &&
    (load.departure === undefined || isServerDeparture(load.departure)) &&
    (load.routeService === undefined || isRouteService(load.routeService)) &&
    (load.callsPerSecondLimit === null ||
      isAmount(load.callsPerSecondLimit)) &&
    [load.running, load.queued, load.slots].every(Number.isFinite);
}

function isRouteService(
  input: unknown,
): input is NonNullable<GateLoad["routeService"]> {
  if (typeof input !== "object" || input === null) return false;
  const { route, milliseconds } = input as Partial<
    Record<keyof NonNullable<GateLoad["routeService"]>, unknown>
  >;
  return typeof route === "string" && typeof milliseconds === "number" &&
    isAmount(milliseconds);
}

function isServerDeparture(input: unknown): input is ServerDeparture {
  if (typeof input !== "object" || input === null) return false;
  const departure = input as Partial<Record<keyof ServerDeparture, unknown>>;
  return typeof departure.identifier === "string" && isAmount(departure.bornAt);
}

/** Whether decoded JSON is a valid reply. */
export function isReplyMessage(input: unknown): input is ReplyMessage {
  if (typeof input !== "object" || input === null) return false;
  const message = input as Partial<Record<keyof ReplyMessage, unknown>>;
  return kinds.includes(message.kind) &&
    isGateLoad(message.load) &&
    isAmount(message.retryMilliseconds) &&
    (message.kind === OfferOutcomeKind.Answered ||
      reasons.includes(message.reason));
}
