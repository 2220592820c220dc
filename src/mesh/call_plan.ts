import type { CallRoute } from "../routing/call_route.ts";
import type { CallRequest } from "./call_request.ts";

/** A caller's call, once it is known where it goes. Instants are in milliseconds since the Unix epoch. */
export interface CallPlan {
  readonly callIdentifier: string;
  readonly request: CallRequest;
  readonly route: CallRoute;
  /** The service that was chosen among the route's targets. */
  readonly service: string;
  readonly rulesVersion: number;
  readonly receivedAt: number;
  /** When the caller is answered at the latest. */
  readonly deadline: number;
  /** Until when an answer has its full worth. */
  readonly goalDeadline: number;
  /** Whether the caller can try again after a refusal. */
  readonly mayComeBack: boolean;
  /** Aborted when the caller leaves or the deadline has passed. */
  readonly signal: AbortSignal;
}
