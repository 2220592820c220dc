import type { RegisterRecord } from "../register/register_record.ts";

/** What the node beside a backend server knows that decides whether it takes new work. */
export interface OwnServerStanding {
  /** The register's record of the backend server; undefined where none was seen. */
  readonly record: RegisterRecord | undefined;
  readonly zoneTakenOut: boolean;
  /** Whether this node is stopping and takes nothing new for its backend server. */
  readonly stopping: boolean;
  /** Since when the source has answered without a failure; infinity while it does not. */
  readonly sourceSoundSince: number;
  /** The incarnation that the health check last named; undefined where none was seen. */
  readonly probedIdentifier: string | undefined;
}
