import type { SoakFaultKind } from "./soak_fault_kind.ts";

/** One fault of a soak. Times are in milliseconds since the start of its traffic. */
export interface SoakFault {
  readonly kind: SoakFaultKind;
  readonly startsAt: number;
  readonly endsAt: number;
  /** Index of the VM that the fault affects. */
  readonly vm: number;
}
