import type { ClockReading } from "../runtime/clock_reading.ts";

/** A backend server that has named itself at the address. */
export interface HolderSighting {
  /** Identifier of its incarnation. */
  readonly identifier: string;
  /**
   * An instant from which on it was at the address: when the request was sent
   * that it answered.
   */
  readonly seenAt: ClockReading;
}
