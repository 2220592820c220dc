import type { SlotRequest } from "../gate/slot_request.ts";

/** A call as it is offered to the node beside a backend server: what it asks of the gate, and what the request needs. */
export interface GateOffer extends SlotRequest {
  readonly service: string;
  /** The incarnation that is meant. */
  readonly identifier: string;
  readonly callerService: string;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
}
