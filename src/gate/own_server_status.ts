import type { HolderKind } from "../address_holder/holder_kind.ts";
import type { ServerDeparture } from "../register/server_departure.ts";
import type { RegisterRecord } from "../register/register_record.ts";

/** The state that determines whether the gate of a node is open. */
export interface OwnServerStatus {
  /** The backend server's record in the register; undefined if the register has never listed it. */
  readonly record: RegisterRecord | undefined;
  /** Whether the operators took the node's zone out of service. */
  readonly zoneTakenOut: boolean;
  /** The incarnation that states that it is about to leave; undefined if none does. */
  readonly departure: ServerDeparture | undefined;
  /** Whether the node waits for what its neighbours know as withdrawn. */
  readonly isLearningWithdrawals: boolean;
  /** Whether the node is stopping and admits no new calls. */
  readonly stopping: boolean;
  /** What is known of the backend server that answers at the address. */
  readonly holder: HolderKind;
}
