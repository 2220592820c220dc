import type { SlotRequest } from "../gate/slot_request.ts";

/**
 * A call as it is offered to the node beside a backend server: the request for
 * a slot, and the data that forwarding needs.
 */
export interface GateOffer extends Omit<SlotRequest, "getFingerprint"> {
  readonly callIdentifier: string;
  readonly service: string;
  /** Identifier of the intended incarnation. */
  readonly identifier: string;
  readonly callerService: string;
  /** Name of the caller's organisation; undefined if there is none. */
  readonly organisation: string | undefined;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /**
   * The most calls a second that the backend server stated to take, as far as
   * the offering node knows; undefined if it knows of no limit.
   */
  readonly callsPerSecondLimit: number | undefined;
}
