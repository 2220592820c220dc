import type { ControlFailureKind } from "./control_failure_kind.ts";

/** The reason why a control request to a peer has no result. */
export interface ControlFailure {
  readonly kind: ControlFailureKind;
  /** A sentence for logs. */
  readonly detail: string;
  /**
   * Whether the connection was refused because no process listens at the
   * address.
   */
  readonly refused?: boolean;
}
