import type { CallPriority } from "../../src/configuration/call_priority.ts";

/** A service of a deployment, with the calls that its callers make. */
export interface DeploymentService {
  readonly name: string;
  readonly priority: CallPriority;
  readonly method: "GET" | "POST";
  /** Its share of the calls, in proportion to the other weights. */
  readonly weight: number;
  /** Size of an answer. */
  readonly bytes: number;
}
