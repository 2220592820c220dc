import type { ControlFailureKind } from "./control_failure_kind.ts";

/** Why a control call has no result, with a sentence for logs. */
export interface ControlFailure {
  readonly kind: ControlFailureKind;
  readonly detail: string;
  /** Whether the other end refused the connection: no process listens there. */
  readonly refused?: boolean;
}
