import type { RegisterRecord } from "../register/register_record.ts";

/** What decides whether the node beside a backend server opens its gate. */
export interface OwnServerStatus {
  /** The backend server's record in the register; undefined if the register has never listed it. */
  readonly record: RegisterRecord | undefined;
  /** Whether the operators took the node's zone out of service. */
  readonly zoneTakenOut: boolean;
  /** Whether the node is stopping and admits no new calls. */
  readonly stopping: boolean;
  /** Since when the source has answered without a failure, in milliseconds since the Unix epoch; infinity while it fails. */
  readonly sourceSoundSince: number;
  /** The identifier of the incarnation that the last probe returned; undefined if no probe has returned one. */
  readonly probedIdentifier: string | undefined;
}
