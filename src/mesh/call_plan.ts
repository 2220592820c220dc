import type { Organisation } from "../organisations/organisation.ts";
import type { CallRoute } from "../routing/call_route.ts";
import type { CallRequest } from "./call_request.ts";
import type { CallSignal } from "./call_signal.ts";

/**
 * A caller's call with its route and target service. Instants are in
 * milliseconds since the Unix epoch.
 */
export interface CallPlan {
  readonly callIdentifier: string;
  readonly request: CallRequest;
  readonly route: CallRoute;
  /** The organisation of the caller; undefined if the call has no key. */
  readonly organisation: Organisation | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** The service chosen among the route's targets. */
  readonly service: string;
  readonly rulesVersion: number;
  readonly receivedAt: number;
  /** Instant by which the caller must have a response. */
  readonly deadline: number;
  /** Instant until which an answer meets the route's latency goal. */
  readonly goalDeadline: number;
  /** Whether the caller can retry after a refusal. */
  readonly mayComeBack: boolean;
  /** Whether the backend server of this VM makes the call for a call that it runs. */
  readonly isNested: boolean;
  /** Aborted when the caller disconnects or the deadline has passed. */
  readonly signal: CallSignal;
}
